package io.mothrill.core.budget;

/**
 * Sizes an allotment so that it lasts for a wanted time, and less when the budget runs low.
 *
 * <p>A large allotment lets a cut-off instance go on for longer; a small one leaves the last tokens
 * where any instance finds them. An allotment is therefore at most a fraction of what is left: of
 * the free tokens and of its own. Were one grant bounded instead of the whole allotment, a holder
 * that is refilled again and again would drain the budget all the same.
 *
 * <p>When that fraction is less than is worth holding, nothing is held ahead of need: pieces of the
 * last tokens in several places would each be too small for a request that all together could
 * serve.
 */
public final class EnduranceSizing implements SizingPolicy {

  private final long enduranceMs;
  private final long freeDivisor;
  private final long floorTokens;

  /**
   * Creates the policy.
   *
   * @param enduranceMs how long an allotment should last without the platform
   * @param freeDivisor an allotment is at most this fraction of what is left
   * @param floorTokens the least that is worth a grant, while the budget has it
   */
  public EnduranceSizing(long enduranceMs, long freeDivisor, long floorTokens) {
    this.enduranceMs = enduranceMs;
    this.freeDivisor = freeDivisor;
    this.floorTokens = floorTokens;
  }

  @Override
  public long tokensToRequest(TokenDemand demand, BudgetRow budget) {
    if (isScarce(demand, budget)) {
      return Math.min(budget.freeTokens(), demand.needTokens());
    }
    long wantedTokens = Math.max(floorTokens, tokensToKeep(demand.ratePerSecond()));
    long targetTokens = Math.min(wantedTokens, fairShareTokens(demand, budget));
    long missingTokens = targetTokens - demand.availableTokens();
    return Math.min(budget.freeTokens(), Math.max(demand.needTokens(), missingTokens));
  }

  private long fairShareTokens(TokenDemand demand, BudgetRow budget) {
    return (budget.freeTokens() + demand.availableTokens()) / freeDivisor;
  }

  @Override
  public boolean isScarce(TokenDemand demand, BudgetRow budget) {
    return fairShareTokens(demand, budget) < floorTokens;
  }

  @Override
  public long tokensToKeep(double ratePerSecond) {
    return (long) (ratePerSecond * enduranceMs / 1_000);
  }
}
