package io.mothrill.core.forward.upstream;

/**
 * What one instance tells others about an upstream.
 *
 * @param incarnation the start of the upstream that is meant
 * @param host the IP address at which that was seen
 * @param port the TCP port at which that was seen
 * @param fate what was seen
 */
public record FateReport(String incarnation, String host, int port, UpstreamFate fate) {

  static FateReport of(ServingUpstream upstream, UpstreamFate fate) {
    return new FateReport(upstream.incarnation(), upstream.host(), upstream.port(), fate);
  }

  /** Says whether it is about an upstream as it stands in the list now. */
  boolean isAbout(ServingUpstream upstream) {
    return upstream.incarnation().equals(incarnation)
        && upstream.host().equals(host)
        && upstream.port() == port;
  }
}
