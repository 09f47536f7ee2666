package io.mothrill.core.routing;

import io.mothrill.core.peer.RendezvousHash;

/** Prefers the upstream whose prefix cache is likely to hold the start of the prompt. */
public final class AffinityScorer implements Scorer {

  private final double gain;

  /**
   * Creates the scorer.
   *
   * @param gain the amount by which a likely cache hit lowers the score
   */
  public AffinityScorer(double gain) {
    this.gain = gain;
  }

  @Override
  public double score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    if (request.affinity().isEmpty()) {
      return 0;
    }
    return -gain * RendezvousHash.normalizedScore(request.affinity(), upstream.name());
  }
}
