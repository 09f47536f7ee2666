package io.mothrill.core.forward.upstream;

/** Determines to which upstreams a request may be sent at all; costs decide between those. */
@FunctionalInterface
public interface UpstreamFilter {

  /**
   * Checks one upstream.
   *
   * @param upstream the upstream
   * @param query the request
   * @param nowMs the current time
   * @return true if the request may be sent to it now
   */
  boolean permits(RegisteredUpstream upstream, UpstreamQuery query, long nowMs);
}
