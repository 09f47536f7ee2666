package io.mothrill.core.forward.warmup;

import io.mothrill.core.forward.plan.WarmUpPlan;

/**
 * How far all instances together may exceed the capacity of an upstream that is warming up.
 *
 * @param factor the allowed multiple of its capacity
 * @param extraPerS the requests allowed in addition in any second
 */
public record WarmUpBounds(double factor, double extraPerS) {

  /**
   * Returns limits that allow exactly the capacity.
   *
   * @return a factor of 1 and nothing in addition
   */
  public static WarmUpBounds exact() {
    return new WarmUpBounds(1, 0);
  }

  /**
   * Returns the maximum number of requests that an upstream may get in any second from all
   * instances.
   *
   * @param plan the capacity of the upstream
   * @return the number of requests
   */
  public int maxRequestsPerSecond(WarmUpPlan plan) {
    return (int) Math.floor(plan.requestsPerS() * factor + extraPerS);
  }
}
