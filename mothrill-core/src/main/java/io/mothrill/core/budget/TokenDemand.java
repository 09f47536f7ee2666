package io.mothrill.core.budget;

/**
 * The demand of an account for tokens.
 *
 * @param budget the budget's name
 * @param needTokens the smallest number of tokens that helps the waiting requests
 * @param ratePerSecond the recent number of tokens spent per second
 * @param availableTokens the tokens that the account still has
 * @param platformUnreachable whether the platform or a source asked before did not respond
 */
public record TokenDemand(
    String budget,
    long needTokens,
    double ratePerSecond,
    long availableTokens,
    boolean platformUnreachable) {

  /**
   * Returns a copy that records whether a source asked before was unreachable.
   *
   * @param unreachable true when a source was unreachable
   * @return the copy
   */
  public TokenDemand withPlatformUnreachable(boolean unreachable) {
    return new TokenDemand(budget, needTokens, ratePerSecond, availableTokens, unreachable);
  }
}
