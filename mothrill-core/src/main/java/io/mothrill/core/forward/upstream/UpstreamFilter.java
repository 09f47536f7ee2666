package io.mothrill.core.forward.upstream;

/** Says to which upstreams a request may be sent at all; costs decide among those. */
@FunctionalInterface
public interface UpstreamFilter {

  /**
   * Asks about one upstream.
   *
   * @param upstream the upstream
   * @param query the request
   * @param nowMs the time
   * @return true when nothing forbids to send it there now
   */
  boolean permits(RegisteredUpstream upstream, UpstreamQuery query, long nowMs);
}
