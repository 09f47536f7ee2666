package io.mothrill.core.budget;

/**
 * What an account lacks.
 *
 * @param budget the budget's name
 * @param needTokens the least that helps the requests that wait
 * @param ratePerSecond tokens spent per second of late
 * @param availableTokens what the account still has
 * @param platformAway whether the platform, or someone asked before, did not answer
 */
public record Need(
    String budget,
    long needTokens,
    double ratePerSecond,
    long availableTokens,
    boolean platformAway) {

  /**
   * Notes whether someone asked before did not answer.
   *
   * @param away true when that is so
   * @return a copy
   */
  public Need with(boolean away) {
    return new Need(budget, needTokens, ratePerSecond, availableTokens, away);
  }
}
