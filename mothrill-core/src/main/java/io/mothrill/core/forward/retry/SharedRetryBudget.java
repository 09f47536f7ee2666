package io.mothrill.core.forward.retry;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

/**
 * This instance's share of the retries that all instances may make together.
 *
 * <p>If every instance retried when upstreams fail or are full, the upstreams would get more and
 * more requests and recover late. The instances do not communicate for this. Each takes an equal
 * part of the additional retries, half of a window's amount at once and the other half over time,
 * and half of the retries earned by its own requests. The sum stays below the limit in any window,
 * even while a few more instances have started than are known.
 */
public final class SharedRetryBudget {

  /** Instances that may have started since they were counted, as a share of the known ones. */
  private static final double UNSEEN_INSTANCE_SHARE = 0.5;

  /** Callers' requests are counted in different windows at one instance and at the service. */
  private static final double EARNED_SHARE = 0.5;

  private final RetryBounds bounds;
  private final IntSupplier instanceCount;
  private final Timers timers;
  private final Map<String, Bucket> byService = new ConcurrentHashMap<>();

  /**
   * Creates the budget.
   *
   * @param bounds the limits for all instances together
   * @param instanceCount the number of known instances; 0 while it is unknown
   * @param timers the clock
   */
  public SharedRetryBudget(RetryBounds bounds, IntSupplier instanceCount, Timers timers) {
    this.bounds = bounds;
    this.instanceCount = instanceCount;
    this.timers = timers;
  }

  /**
   * Counts a request of a caller, which earns a part of a retry.
   *
   * @param service the target service
   */
  public void onRequest(String service) {
    bucketOf(service).earn(bounds.ratio() * EARNED_SHARE);
  }

  /**
   * Acquires one retry.
   *
   * @param service the target service
   * @return true if the retry may be made
   */
  public boolean tryAcquire(String service) {
    return bucketOf(service).tryAcquire();
  }

  private Bucket bucketOf(String service) {
    return byService.computeIfAbsent(service, name -> new Bucket(timers.nowMs()));
  }

  private double capacity() {
    int known = instanceCount.getAsInt();
    return known == 0 ? 0 : bounds.extraCount() / (2 * known * (1 + UNSEEN_INSTANCE_SHARE));
  }

  /**
   * Returns the maximum amount that may be spent at once.
   *
   * <p>With many instances the part of each is less than one retry, so no instance would ever retry
   * although all together may. As long as one retry of each instance stays below half of the
   * additional retries, each may save up for one. With more instances, only retries earned by
   * requests are spent.
   */
  private double maxSpend() {
    double capacity = capacity();
    int known = instanceCount.getAsInt();
    boolean mayMakeOne = known > 0 && known <= bounds.extraCount() / 2;
    return capacity >= 1 || !mayMakeOne ? Math.floor(capacity) : 1;
  }

  private final class Bucket {
    private double spent;
    private double earned;
    private long countedMs;
    private long earnedMs;

    Bucket(long nowMs) {
      this.countedMs = nowMs;
      this.earnedMs = nowMs;
    }

    synchronized void earn(double amount) {
      decayEarned();
      earned = Math.min(Math.max(1, capacity()) + amount, earned + amount);
    }

    /** Earned retries expire over one window, as they do in the overall limit. */
    private void decayEarned() {
      long nowMs = timers.nowMs();
      earned *= Math.max(0, 1 - (nowMs - earnedMs) / (double) bounds.windowMs());
      earnedMs = nowMs;
    }

    synchronized boolean tryAcquire() {
      decayEarned();
      long nowMs = timers.nowMs();
      double capacity = capacity();
      double refill = capacity * (nowMs - countedMs) / bounds.windowMs();
      countedMs = nowMs;
      spent = Math.max(0, spent - refill);
      if (earned >= 1) {
        earned -= 1;
        return true;
      }
      if (spent + 1 > maxSpend()) {
        return false;
      }
      spent += 1;
      return true;
    }
  }
}
