package io.mothrill.core.forward.contention;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Cost of plain requests under load: the expected time to the response, in milliseconds. */
public final class PlainLatencyCost implements UpstreamCost {

  /** A round trip to another failure domain. */
  private static final double OTHER_DOMAIN_MS = 2.4;

  /**
   * Part of the target latency by which an upstream is more expensive that gets a third of the
   * requests of another one: a response from it is still on time.
   */
  private static final double SCALE_OF_TARGET = 0.25;

  private static final double MIN_SCALE_MS = 10;

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
   * Draws an upstream; the cheaper it is, the more likely.
   *
   * <p>All instances receive the same reports within milliseconds. If all of them selected the
   * cheapest upstream, or one of the cheapest, it would be overloaded until the next reports and
   * another one idle, and so in turn. Drawn by weight, requests shift between upstreams only as far
   * as their costs differ.
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
    double minMs = priced.stream().mapToDouble(Priced::costMs).min().orElse(0);
    double scaleMs = Math.max(MIN_SCALE_MS, SCALE_OF_TARGET * query.targetLatencyMs());
    double[] weights =
        priced.stream().mapToDouble(one -> Math.exp((minMs - one.costMs()) / scaleMs)).toArray();
    double remaining = random.nextDouble() * Arrays.stream(weights).sum();
    for (int index = 0; index < weights.length; index++) {
      remaining -= weights[index];
      if (remaining <= 0) {
        return Optional.of(priced.get(index).upstream());
      }
    }
    return priced.stream().map(Priced::upstream).findFirst();
  }
}
