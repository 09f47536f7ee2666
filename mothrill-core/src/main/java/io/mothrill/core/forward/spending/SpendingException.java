package io.mothrill.core.forward.spending;

/** Tokens could not be set aside for a request, which therefore does not run. */
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
   * The team has too little left, as a read of the whole table has just shown.
   *
   * @param team the team
   * @param leftTokens what it has left
   * @param neededTokens what the request needs
   * @return the error
   */
  public static SpendingException budgetSpent(String team, long leftTokens, long neededTokens) {
    return new SpendingException(
        "team " + team + " has " + leftTokens + " tokens left, needed " + neededTokens, true, 0);
  }

  /**
   * The team may have enough, but this instance cannot spend it now.
   *
   * @param team the team
   * @param neededTokens what the request needs
   * @param state what this instance holds and since when
   * @param retryAfterMs when tokens can be there
   * @return the error
   */
  public static SpendingException notAvailableHere(
      String team, long neededTokens, String state, long retryAfterMs) {
    return new SpendingException(
        "no " + neededTokens + " tokens of team " + team + " at hand: " + state,
        false,
        retryAfterMs);
  }

  /**
   * Says whether the budget itself is spent.
   *
   * @return false when the tokens are only not here
   */
  public boolean isBudgetSpent() {
    return budgetSpent;
  }

  /**
   * Says when tokens can be there.
   *
   * @return milliseconds
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
