package io.mothrill.core.budget;

/** Decides by how many tokens an allotment grows, and how many an idle account keeps. */
public interface SizingPolicy {

  /**
   * Returns the number of tokens to request from the platform.
   *
   * @param demand the demand of the account
   * @param budget the current state of the budget
   * @return tokens, at most the free tokens of the budget
   */
  long tokensToRequest(TokenDemand demand, BudgetRow budget);

  /**
   * Checks whether a budget is so nearly spent that no tokens are held ahead of need.
   *
   * @param demand the demand of the account
   * @param budget the current state of the budget
   * @return true when each request gets its tokens from the platform and returns what it did not
   *     use
   */
  boolean isScarce(TokenDemand demand, BudgetRow budget);

  /**
   * Returns the number of tokens that an idle account keeps.
   *
   * @param ratePerSecond the recent number of tokens spent per second
   * @return the number of tokens above which the surplus is returned
   */
  long tokensToKeep(double ratePerSecond);
}
