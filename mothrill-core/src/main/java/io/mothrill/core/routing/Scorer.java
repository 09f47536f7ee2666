package io.mothrill.core.routing;

/** One reason to prefer an upstream; the least score is best. */
public interface Scorer {

  /**
   * Scores an upstream for a call.
   *
   * @param upstream the upstream
   * @param request the call
   * @param nowMs the time
   * @return about 1 for a whole upstream's worth of load, 0 for none, negative for a gain
   */
  double score(UpstreamState upstream, RoutingRequest request, long nowMs);
}
