package io.mothrill.core.routing;

/** Keeps calls from upstreams that failed of late, without ever emptying the set. */
public final class AvoidanceScorer implements Scorer {

  private static final double PENALTY = 100;

  @Override
  public double score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    return upstream.isAvoided(nowMs) ? PENALTY : 0;
  }
}
