package io.mothrill.core.forward.upstream;

/**
 * What one instance tells others about an upstream.
 *
 * @param incarnation the start of the upstream that is meant
 * @param host the IP address at which that was seen
 * @param port the TCP port at which that was seen
 * @param status what was seen
 */
public record UpstreamStatusReport(
    String incarnation, String host, int port, UpstreamStatus status) {

  static UpstreamStatusReport of(RegisteredUpstream upstream, UpstreamStatus fate) {
    return new UpstreamStatusReport(upstream.incarnation(), upstream.host(), upstream.port(), fate);
  }

  /** Says whether it is about an upstream as it stands in the list now. */
  boolean isAbout(RegisteredUpstream upstream) {
    return upstream.incarnation().equals(incarnation)
        && upstream.host().equals(host)
        && upstream.port() == port;
  }
}
