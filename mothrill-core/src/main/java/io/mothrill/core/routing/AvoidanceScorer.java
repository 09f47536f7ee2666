package io.mothrill.core.routing;

/**
 * Penalizes upstreams that failed recently. It excludes none of them, so calls can still be sent
 * when all upstreams have failed.
 */
public final class AvoidanceScorer implements Scorer {

  private static final double PENALTY = 100;

  @Override
  public double score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    return upstream.isAvoided(nowMs) ? PENALTY : 0;
  }
}
