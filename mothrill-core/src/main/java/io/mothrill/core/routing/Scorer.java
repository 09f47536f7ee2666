package io.mothrill.core.routing;

/**
 * One criterion for the selection of an upstream. The upstream with the lowest score is selected.
 */
public interface Scorer {

  /**
   * Scores an upstream for a call.
   *
   * @param upstream the upstream
   * @param request the call
   * @param nowMs the current time of the timer service, in milliseconds
   * @return about 1 for a fully loaded upstream, 0 for no effect, negative for a preference
   */
  double score(UpstreamState upstream, RoutingRequest request, long nowMs);
}
