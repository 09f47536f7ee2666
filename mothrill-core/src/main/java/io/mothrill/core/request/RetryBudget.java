package io.mothrill.core.request;

/**
 * Lets through a fixed share of retries, so that a failing upstream is not hit by more and more
 * calls.
 */
public final class RetryBudget {

  private static final double MAX_AVAILABLE = 20;

  private final double ratio;
  private double available = MAX_AVAILABLE;

  /**
   * Creates the budget.
   *
   * @param ratio retries per first try, for example 0.1
   */
  public RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Counts a first try. */
  public synchronized void onFirstAttempt() {
    available = Math.min(MAX_AVAILABLE, available + ratio);
  }

  /**
   * Asks for a retry.
   *
   * @return true when one may be made
   */
  public synchronized boolean tryRetry() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
