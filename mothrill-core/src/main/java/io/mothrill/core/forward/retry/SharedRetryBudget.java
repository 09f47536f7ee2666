package io.mothrill.core.forward.retry;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

/**
 * This instance's share of the sends beyond the first that all instances may make together.
 *
 * <p>Failure: upstreams fail or are full, and every instance sends again. Symptom: the upstreams
 * get more and more arrivals and recover late. The instances need not talk: each takes an equal
 * part of what is allowed besides, for half a window at once and the other half over time, and half
 * of what its own requests earn, so that their sum stays below the bound in any window, also while
 * a few instances more have started than are known.
 */
public final class SharedRetryBudget {

  /** Instances that may have started since they were counted, as a share of those known. */
  private static final double UNSEEN_INSTANCE_SHARE = 0.5;

  /** Callers' requests at one instance and at the service are counted in windows that differ. */
  private static final double EARNED_SHARE = 0.5;

  private final RetryBounds bounds;
  private final IntSupplier instanceCount;
  private final Timers timers;
  private final Map<String, Bucket> byService = new ConcurrentHashMap<>();

  /**
   * Creates the budget.
   *
   * @param bounds what all instances may do together
   * @param instanceCount how many instances are known; 0 while that is unknown
   * @param timers the time
   */
  public SharedRetryBudget(RetryBounds bounds, IntSupplier instanceCount, Timers timers) {
    this.bounds = bounds;
    this.instanceCount = instanceCount;
    this.timers = timers;
  }

  /**
   * Counts a request of a caller.
   *
   * @param service the service that it goes to
   */
  public void onRequest(String service) {
    bucketOf(service).earn(bounds.ratio() * EARNED_SHARE);
  }

  /**
   * Asks for one send beyond the first.
   *
   * @param service the service that it goes to
   * @return true when it may be made
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
   * Gives the most that may be spent at once.
   *
   * <p>Failure: with many instances the part of each is less than one send. Symptom: no instance
   * ever sends again, though all together may. As long as one send of each stays below half of what
   * is allowed besides, each may save up for one; with more instances only what requests earn is
   * spent.
   */
  private double maxSpend() {
    double capacity = capacity();
    int known = instanceCount.getAsInt();
    boolean mayHaveOne = known > 0 && known <= bounds.extraCount() / 2;
    return capacity >= 1 || !mayHaveOne ? Math.floor(capacity) : 1;
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

    /** What requests have earned counts for one window, as it does in the bound. */
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
