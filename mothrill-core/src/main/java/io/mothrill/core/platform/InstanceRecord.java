package io.mothrill.core.platform;

/**
 * One instance as the instance list shows it.
 *
 * @param id the instance's name, which a replacement may take over
 * @param incarnation differs for every start of a process
 * @param domain the failure domain
 * @param host the address for peers
 * @param peerPort the TCP port for peers
 * @param leaving true once the instance has begun to drain
 */
public record InstanceRecord(
    String id, String incarnation, String domain, String host, int peerPort, boolean leaving) {

  /**
   * Marks the instance as leaving.
   *
   * @return a copy that is leaving
   */
  public InstanceRecord asLeaving() {
    return new InstanceRecord(id, incarnation, domain, host, peerPort, true);
  }
}
