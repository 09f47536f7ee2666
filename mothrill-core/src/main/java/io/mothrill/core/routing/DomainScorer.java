package io.mothrill.core.routing;

/**
 * Prefers upstreams in the failure domain of this instance, because no partition can separate the
 * instance from them.
 */
public final class DomainScorer implements Scorer {

  private final String domain;
  private final double penalty;

  /**
   * Creates the scorer.
   *
   * @param domain the instance's failure domain
   * @param penalty the score added for an upstream in another failure domain
   */
  public DomainScorer(String domain, double penalty) {
    this.domain = domain;
    this.penalty = penalty;
  }

  @Override
  public double score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    return upstream.spec().domain().equals(domain) ? 0 : penalty;
  }
}
