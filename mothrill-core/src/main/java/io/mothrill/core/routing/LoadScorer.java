package io.mothrill.core.routing;

/**
 * Prefers upstreams with free slots. Calls of this instance are counted exactly; calls of other
 * instances are estimated from load reports.
 */
public final class LoadScorer implements Scorer {

  private final long fadeMs;

  /**
   * Creates the scorer.
   *
   * @param fadeMs the age at which a load report has no weight any more
   */
  public LoadScorer(long fadeMs) {
    this.fadeMs = fadeMs;
  }

  @Override
  public double score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    double busy = upstream.inFlight() + upstream.othersInFlight(nowMs, fadeMs);
    return busy / upstream.spec().slots();
  }
}
