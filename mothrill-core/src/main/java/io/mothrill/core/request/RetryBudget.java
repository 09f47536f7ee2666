package io.mothrill.core.request;

/**
 * Lets through a fixed share of retries, so that a failing upstream is not hit by more and more
 * calls.
 */
public final class RetryBudget {

  private static final double MAX_SAVED = 20;

  private final double share;
  private double saved = MAX_SAVED;

  /**
   * Creates the budget.
   *
   * @param share retries per first try, for example 0.1
   */
  public RetryBudget(double share) {
    this.share = share;
  }

  /** Counts a first try. */
  public synchronized void onFirstTry() {
    saved = Math.min(MAX_SAVED, saved + share);
  }

  /**
   * Asks for a retry.
   *
   * @return true when one may be made
   */
  public synchronized boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
