package io.mothrill.core.platform;

/**
 * An entry of the instance list.
 *
 * @param id the name of the instance, which a replacement may take over
 * @param incarnation unique for every process start
 * @param domain the failure domain
 * @param host the IP address for peers
 * @param peerPort the TCP port for peers
 * @param leaving true once the instance has begun to drain
 */
public record InstanceRecord(
    String id, String incarnation, String domain, String host, int peerPort, boolean leaving) {

  /**
   * Returns a copy marked as leaving.
   *
   * @return the copy
   */
  public InstanceRecord asLeaving() {
    return new InstanceRecord(id, incarnation, domain, host, peerPort, true);
  }

  /**
   * Returns the sender of a datagram, of which only the address is known: it may have started after
   * the instance list was last read. It has no failure domain.
   *
   * @param host the IP address
   * @param port the port
   * @return an instance to reply to
   */
  public static InstanceRecord ofAddress(String host, int port) {
    return new InstanceRecord(host, host, "", host, port, false);
  }
}
