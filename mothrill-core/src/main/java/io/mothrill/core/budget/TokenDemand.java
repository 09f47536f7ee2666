package io.mothrill.core.budget;

/**
 * What an account lacks.
 *
 * @param budget the budget's name
 * @param needTokens the least that helps the requests that wait
 * @param ratePerSecond tokens spent per second of late
 * @param availableTokens what the account still has
 * @param platformUnreachable whether the platform, or someone asked before, did not answer
 */
public record TokenDemand(
    String budget,
    long needTokens,
    double ratePerSecond,
    long availableTokens,
    boolean platformUnreachable) {

  /**
   * Notes whether someone asked before did not answer.
   *
   * @param away true when that is so
   * @return a copy
   */
  public TokenDemand withPlatformUnreachable(boolean away) {
    return new TokenDemand(budget, needTokens, ratePerSecond, availableTokens, away);
  }
}
