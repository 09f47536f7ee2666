package io.mothrill.core.budget;

/** Decides how many tokens an allotment grows by, and how many it keeps. */
public interface SizingPolicy {

  /**
   * Decides how much to ask of the platform.
   *
   * @param need what the account lacks
   * @param budget the budget as it stands
   * @return tokens, at most what is free
   */
  long growTokens(Need need, BudgetRow budget);

  /**
   * Decides how much of an idle account to keep.
   *
   * @param ratePerSecond tokens spent per second of late
   * @return tokens above which the surplus is given back
   */
  long keepTokens(double ratePerSecond);
}
