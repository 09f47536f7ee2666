package io.mothrill.core.forward.upstream;

import java.util.OptionalLong;

/**
 * One upstream, as it has registered itself.
 *
 * @param id its name; a process that starts again may keep it, and an address may pass on to
 *     another upstream
 * @param service the service that it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots how many requests it works on at once
 * @param leaving true once it must get nothing new
 * @param warmUpRemainingMs how much longer it warms up, from when this was said; empty when it does
 *     not say so
 * @param registrationVersion when this was said
 */
public record RegisteredUpstream(
    String id,
    String service,
    String host,
    int port,
    String domain,
    int slots,
    boolean leaving,
    OptionalLong warmUpRemainingMs,
    RegistrationVersion registrationVersion) {

  private static final char SEPARATOR = '@';

  /**
   * Names this start of the upstream. All that is believed of an upstream is kept under this name,
   * so that nothing of it is believed of a later process with the same id.
   *
   * @return the id and when the process was started
   */
  public String incarnation() {
    return id + SEPARATOR + registrationVersion.startedMs();
  }

  /**
   * Gives the id in the name of a start.
   *
   * @param incarnation what {@link #incarnation()} gave
   * @return the upstream's id
   */
  static String idOf(String incarnation) {
    int end = incarnation.lastIndexOf(SEPARATOR);
    return end < 0 ? incarnation : incarnation.substring(0, end);
  }
}
