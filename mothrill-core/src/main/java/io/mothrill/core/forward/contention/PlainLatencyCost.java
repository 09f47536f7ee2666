package io.mothrill.core.forward.contention;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Cost of plain requests under load: the expected time to the response, in milliseconds. */
public final class PlainLatencyCost implements UpstreamCost {

  /** A round trip to another failure domain. */
  private static final double OTHER_DOMAIN_MS = 2.4;

  /** Upstreams within this factor of the lowest cost are considered equal. */
  private static final double EQUAL_FACTOR = 1.2;

  private final String ownDomain;
  private final UpstreamLoads loads;
  private final UpstreamContention contention;
  private final WorkTimes workTimes;
  private final RandomGenerator random;

  /**
   * Creates the cost.
   *
   * @param ownDomain the failure domain of this instance
   * @param loads the loads of all upstreams
   * @param contention the slowness of all upstreams
   * @param workTimes the expected times of work
   * @param random selects among upstreams of about equal cost
   */
  public PlainLatencyCost(
      String ownDomain,
      UpstreamLoads loads,
      UpstreamContention contention,
      WorkTimes workTimes,
      RandomGenerator random) {
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.contention = contention;
    this.workTimes = workTimes;
    this.random = random;
  }

  private record Priced(RegisteredUpstream upstream, double costMs) {}

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    double workMs = workTimes.expectedMs(query.service()).orElse((double) query.targetLatencyMs());
    return upstream -> {
      String incarnation = upstream.incarnation();
      double utilization =
          loads.of(incarnation).estimatedCount(nowMs) / Math.max(1, upstream.slots());
      return contention.slowdown(incarnation, nowMs) * workMs * (1 + utilization)
          + contention.waitMs(incarnation, nowMs)
          + (upstream.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_MS);
    };
  }

  /**
   * Draws two of the upstreams of about the lowest cost and selects the cheaper one, so that
   * instances that have received the same reports do not all select the same upstream. The same one
   * may be drawn twice: of two upstreams, the more expensive one is still selected at times.
   */
  @Override
  public Optional<RegisteredUpstream> select(
      UpstreamQuery query,
      List<RegisteredUpstream> candidates,
      ToDoubleFunction<RegisteredUpstream> costOf) {
    List<Priced> priced =
        candidates.stream()
            .map(upstream -> new Priced(upstream, costOf.applyAsDouble(upstream)))
            .toList();
    double maxMs =
        EQUAL_FACTOR * priced.stream().mapToDouble(Priced::costMs).min().orElse(Double.MAX_VALUE);
    List<Priced> equal = priced.stream().filter(one -> one.costMs() <= maxMs).toList();
    return equal.isEmpty()
        ? Optional.empty()
        : random
            .ints(2, 0, equal.size())
            .mapToObj(equal::get)
            .min(Comparator.comparingDouble(Priced::costMs))
            .map(Priced::upstream);
  }
}
