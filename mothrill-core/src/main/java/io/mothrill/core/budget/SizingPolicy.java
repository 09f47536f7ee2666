package io.mothrill.core.budget;

/** Decides how many tokens an allotment grows by, and how many it keeps. */
public interface SizingPolicy {

  /**
   * Decides how much to ask of the platform.
   *
   * @param demand what the account lacks
   * @param budget the budget as it stands
   * @return tokens, at most what is free
   */
  long tokensToRequest(TokenDemand demand, BudgetRow budget);

  /**
   * Decides whether a budget is so nearly spent that nothing is held ahead of need.
   *
   * @param demand what the account lacks
   * @param budget the budget as it stands
   * @return true when each request asks the platform for itself, and returns what it did not use
   */
  boolean isScarce(TokenDemand demand, BudgetRow budget);

  /**
   * Decides how much of an idle account to keep.
   *
   * @param ratePerSecond tokens spent per second of late
   * @return tokens above which the surplus is given back
   */
  long tokensToKeep(double ratePerSecond);
}
