package io.mothrill.core.forward.upstream;

/**
 * A report between instances about the status of an upstream.
 *
 * @param incarnation the incarnation of the upstream
 * @param host the IP address at which the status was detected
 * @param port the TCP port at which the status was detected
 * @param status the detected status
 */
public record UpstreamStatusReport(
    String incarnation, String host, int port, UpstreamStatus status) {

  static UpstreamStatusReport of(RegisteredUpstream upstream, UpstreamStatus status) {
    return new UpstreamStatusReport(
        upstream.incarnation(), upstream.host(), upstream.port(), status);
  }

  /** Checks whether the report is about an upstream as currently registered. */
  boolean isAbout(RegisteredUpstream upstream) {
    return upstream.incarnation().equals(incarnation)
        && upstream.host().equals(host)
        && upstream.port() == port;
  }
}
