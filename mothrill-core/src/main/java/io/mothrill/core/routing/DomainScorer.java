package io.mothrill.core.routing;

/** Prefers upstreams in the instance's own failure domain, which no partition can cut off. */
public final class DomainScorer implements Scorer {

  private final String domain;
  private final double penalty;

  /**
   * Creates the scorer.
   *
   * @param domain the instance's failure domain
   * @param penalty what another domain costs
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
