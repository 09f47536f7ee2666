package io.mothrill.core.budget;

/**
 * Sizes an allotment to last for a given time, and smaller when the budget runs low.
 *
 * <p>A large allotment lets an instance that is partitioned from the platform continue for longer;
 * a small one leaves the last tokens where any instance can get them. An allotment is therefore at
 * most a fraction of the remaining tokens, which are the free tokens and its own. The whole
 * allotment is limited rather than a single grant, because a holder that is refilled repeatedly
 * would otherwise drain the budget.
 *
 * <p>When that fraction is smaller than the floor, no tokens are held ahead of need. The last
 * tokens would otherwise be split into parts that are each too small for a request that all of them
 * together could serve.
 */
public final class EnduranceSizing implements SizingPolicy {

  private final long enduranceMs;
  private final long freeDivisor;
  private final long floorTokens;

  /**
   * Creates the policy.
   *
   * @param enduranceMs the time that an allotment should last without the platform
   * @param freeDivisor the divisor that limits an allotment to a fraction of the remaining tokens
   * @param floorTokens the smallest useful grant, as long as the budget has that many tokens
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
