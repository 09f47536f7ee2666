package io.mothrill.core.forward.upstream;

import java.util.OptionalLong;

/**
 * An upstream as registered by itself.
 *
 * @param id its id; a restarted process may keep it, and an address may be reused by another
 *     upstream
 * @param service the service that it belongs to
 * @param version the version of its software; empty if it does not report one
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots the number of requests that it runs concurrently
 * @param leaving true once it must not get new requests
 * @param warmUpRemainingMs the remaining warm-up time at the time of this registration; empty if
 *     not reported
 * @param registrationVersion the version of this registration
 */
public record RegisteredUpstream(
    String id,
    String service,
    String version,
    String host,
    int port,
    String domain,
    int slots,
    boolean leaving,
    OptionalLong warmUpRemainingMs,
    RegistrationVersion registrationVersion) {

  private static final char SEPARATOR = '@';

  /**
   * Creates an upstream that does not report the version of its software.
   *
   * @param id its id
   * @param service the service that it belongs to
   * @param host its IP address
   * @param port its TCP port
   * @param domain its failure domain
   * @param slots the number of requests that it runs concurrently
   * @param leaving true once it must not get new requests
   * @param warmUpRemainingMs the remaining warm-up time at the time of this registration
   * @param registrationVersion the version of this registration
   */
  public RegisteredUpstream(
      String id,
      String service,
      String host,
      int port,
      String domain,
      int slots,
      boolean leaving,
      OptionalLong warmUpRemainingMs,
      RegistrationVersion registrationVersion) {
    this(
        id,
        service,
        "",
        host,
        port,
        domain,
        slots,
        leaving,
        warmUpRemainingMs,
        registrationVersion);
  }

  /**
   * Returns the name of this incarnation of the upstream. All state about an upstream is kept under
   * this name, so that none of it is applied to a later process with the same id.
   *
   * @return the id and the start time of the process
   */
  public String incarnation() {
    return id + SEPARATOR + registrationVersion.startedMs();
  }

  /**
   * Returns the id in the name of an incarnation.
   *
   * @param incarnation a result of {@link #incarnation()}
   * @return the upstream's id
   */
  static String idOf(String incarnation) {
    int end = incarnation.lastIndexOf(SEPARATOR);
    return end < 0 ? incarnation : incarnation.substring(0, end);
  }
}
