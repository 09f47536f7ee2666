package io.mothrill.core.forward.spending;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;

/** Thrown when tokens cannot be reserved for a request, which is therefore not executed. */
public final class SpendingException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean budgetSpent;
  private final long retryAfterMs;

  private SpendingException(String message, boolean spent, long retryAfterMs) {
    super(message, null, false, false);
    this.budgetSpent = spent;
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * Creates the exception for a team that has too few tokens left, as a recent full read of the
   * table has shown.
   *
   * @param team the team
   * @param remainingTokens the tokens that remain
   * @param neededTokens the tokens that the request needs
   * @return the exception
   */
  public static SpendingException budgetSpent(
      String team, long remainingTokens, long neededTokens) {
    return new SpendingException(
        "team " + team + " has " + remainingTokens + " tokens left, needed " + neededTokens,
        true,
        0);
  }

  /**
   * Creates the exception for a team that may have enough tokens, but not available to this
   * instance now.
   *
   * @param team the team
   * @param neededTokens the tokens that the request needs
   * @param state what this instance holds and since when
   * @param retryAfterMs when tokens may be available
   * @return the exception
   */
  public static SpendingException notAvailableHere(
      String team, long neededTokens, String state, long retryAfterMs) {
    return new SpendingException(
        "no " + neededTokens + " tokens of team " + team + " at hand: " + state,
        false,
        retryAfterMs);
  }

  /**
   * Checks whether the budget itself is spent.
   *
   * @return false when the tokens are only not available here
   */
  public boolean isBudgetSpent() {
    return budgetSpent;
  }

  /**
   * Returns when tokens may be available.
   *
   * @return milliseconds from now
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /**
   * Returns the refusal of a request for which no tokens could be reserved.
   *
   * @param error why the reservation failed
   * @param defaultRetryAfterMs when the caller may retry if the error does not tell
   * @return the refusal
   */
  public static ForwardRefusal refusalOf(Throwable error, long defaultRetryAfterMs) {
    if (!(Failures.unwrap(error) instanceof SpendingException spending)) {
      return ForwardRefusal.retryAfter(Cause.TOKENS_ELSEWHERE, defaultRetryAfterMs);
    }
    return spending.isBudgetSpent()
        ? ForwardRefusal.of(Cause.BUDGET_SPENT)
        : ForwardRefusal.retryAfter(Cause.TOKENS_ELSEWHERE, spending.retryAfterMs());
  }
}
