package io.mothrill.core.request;

/**
 * Limits retries to a fixed ratio of first attempts, so that a failing upstream does not receive a
 * growing number of calls.
 */
public final class RetryBudget {

  private static final double MAX_AVAILABLE = 20;

  private final double ratio;
  private double available = MAX_AVAILABLE;

  /**
   * Creates the budget.
   *
   * @param ratio the number of retries per first attempt, for example 0.1
   */
  public RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Records a first attempt. */
  public synchronized void onFirstAttempt() {
    available = Math.min(MAX_AVAILABLE, available + ratio);
  }

  /**
   * Acquires a retry.
   *
   * @return true when a retry is allowed
   */
  public synchronized boolean tryRetry() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
