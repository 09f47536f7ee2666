package io.mothrill.core.forward.warmup;

import io.mothrill.core.forward.permit.RateLimit;
import io.mothrill.core.forward.permit.RateLimits;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;
import java.util.function.Function;

/**
 * What upstreams bear while they warm up.
 *
 * <p>Upstreams that have just started are the least loaded to every instance, so without a bound
 * all of them would choose these first.
 */
public final class WarmUpRateLimits implements RateLimits {

  private static final long WINDOW_MS = 1_000;

  /** Callers that are refused for lack of a permit find one after this time at the latest. */
  private static final long MAX_RETRY_MS = 1_000;

  private final WarmingUpstreams warming;
  private final Function<String, Optional<WarmUpPlan>> plans;
  private final WarmUpBounds bounds;

  /**
   * Creates the allowances.
   *
   * @param warming which upstreams warm up
   * @param plans what the upstreams of a service bear meanwhile; empty when nothing bounds it
   * @param bounds how far that may be exceeded
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
