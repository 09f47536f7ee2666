package io.mothrill.core.forward.upstream;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Cost of plain requests: the utilization of the upstream and its distance. */
public final class PlainCost implements UpstreamCost {

  /**
   * An upstream in another failure domain is selected only if its utilization is lower by this
   * share of its slots.
   */
  private static final double OTHER_DOMAIN_PENALTY = 0.3;

  /** Keeps instances that have received the same reports from all selecting the same upstream. */
  private static final double JITTER = 0.15;

  private final String ownDomain;
  private final UpstreamLoads loads;
  private final RandomGenerator random;

  /**
   * Creates the cost.
   *
   * @param ownDomain the failure domain of this instance
   * @param loads the loads of all upstreams
   * @param random distributes selections between equal upstreams
   */
  public PlainCost(String ownDomain, UpstreamLoads loads, RandomGenerator random) {
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.random = random;
  }

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    return upstream -> {
      double count = loads.of(upstream.incarnation()).estimatedCount(nowMs);
      double utilization = count / Math.max(1, upstream.slots());
      double distance = upstream.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_PENALTY;
      return utilization + distance + JITTER * random.nextDouble();
    };
  }
}
