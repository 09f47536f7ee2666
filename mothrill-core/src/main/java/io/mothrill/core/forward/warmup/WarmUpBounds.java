package io.mothrill.core.forward.warmup;

import io.mothrill.core.forward.plan.WarmUpPlan;

/**
 * How far all instances together may exceed what an upstream bears while it warms up.
 *
 * @param factor allowed requests for each that it bears
 * @param extraPerS requests that are allowed besides in any second
 */
public record WarmUpBounds(double factor, double extraPerS) {

  /**
   * Gives bounds that allow no more than is borne.
   *
   * @return a factor of 1 and nothing besides
   */
  public static WarmUpBounds exact() {
    return new WarmUpBounds(1, 0);
  }

  /**
   * Gives the most requests that an upstream may get in any second, from all instances.
   *
   * @param plan what it bears
   * @return a count
   */
  public int maxRequestsPerSecond(WarmUpPlan plan) {
    return (int) Math.floor(plan.requestsPerS() * factor + extraPerS);
  }
}
