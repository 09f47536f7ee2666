package io.mothrill.core.budget;

/**
 * Sizes an allotment so that it lasts for a wanted time, and less when the budget runs low.
 *
 * <p>A large allotment lets a cut-off instance go on for longer; a small one leaves the last tokens
 * where any instance finds them. One grant therefore takes at most a fraction of what is free.
 */
public final class EnduranceSizing implements SizingPolicy {

  private final long enduranceMs;
  private final long freeDivisor;
  private final long floorTokens;

  /**
   * Creates the policy.
   *
   * @param enduranceMs how long an allotment should last without the platform
   * @param freeDivisor one grant takes at most this fraction of the free tokens
   * @param floorTokens the least that is worth a grant, while the budget has it
   */
  public EnduranceSizing(long enduranceMs, long freeDivisor, long floorTokens) {
    this.enduranceMs = enduranceMs;
    this.freeDivisor = freeDivisor;
    this.floorTokens = floorTokens;
  }

  @Override
  public long growTokens(Need need, BudgetRow budget) {
    long wantedTokens = Math.max(floorTokens, keepTokens(need.ratePerSecond()));
    long missingTokens = wantedTokens - need.availableTokens();
    long fairTokens = Math.min(missingTokens, budget.freeTokens() / freeDivisor);
    return Math.min(budget.freeTokens(), Math.max(need.needTokens(), fairTokens));
  }

  @Override
  public long keepTokens(double ratePerSecond) {
    return (long) (ratePerSecond * enduranceMs / 1_000);
  }
}
