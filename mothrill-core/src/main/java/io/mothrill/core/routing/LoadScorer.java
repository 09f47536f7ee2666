package io.mothrill.core.routing;

/** Prefers upstreams with free slots: own calls exactly, others' as far as reports tell. */
public final class LoadScorer implements Scorer {

  private final long fadeMs;

  /**
   * Creates the scorer.
   *
   * @param fadeMs the age at which a load report counts for nothing
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
