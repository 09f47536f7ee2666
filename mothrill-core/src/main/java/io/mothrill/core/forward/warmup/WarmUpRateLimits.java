package io.mothrill.core.forward.warmup;

import io.mothrill.core.forward.permit.RateLimit;
import io.mothrill.core.forward.permit.RateLimits;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;
import java.util.function.Function;

/**
 * The rate limits of upstreams that are warming up.
 *
 * <p>To every instance, upstreams that have just started have the least load, so without a limit
 * all instances would select them first.
 */
public final class WarmUpRateLimits implements RateLimits {

  private static final long WINDOW_MS = 1_000;

  /** Callers refused for lack of a permit find one after this time at the latest. */
  private static final long MAX_RETRY_MS = 1_000;

  private final WarmingUpstreams warming;
  private final Function<String, Optional<WarmUpPlan>> plans;
  private final WarmUpBounds bounds;

  /**
   * Creates the rate limits.
   *
   * @param warming the upstreams that are warming up
   * @param plans the warm-up capacity of a service's upstreams; empty if it is not limited
   * @param bounds how far the capacity may be exceeded
   */
  public WarmUpRateLimits(
      WarmingUpstreams warming, Function<String, Optional<WarmUpPlan>> plans, WarmUpBounds bounds) {
    this.warming = warming;
    this.plans = plans;
    this.bounds = bounds;
  }

  @Override
  public Optional<RateLimit> find(RegisteredUpstream upstream) {
    return plans
        .apply(upstream.service())
        .filter(plan -> warming.isWarming(upstream))
        .map(plan -> new RateLimit(bounds.maxRequestsPerSecond(plan), WINDOW_MS, 0, 0));
  }

  @Override
  public long retryAfterMs(RegisteredUpstream upstream) {
    return Math.min(MAX_RETRY_MS, warming.remainingMs(upstream));
  }
}
