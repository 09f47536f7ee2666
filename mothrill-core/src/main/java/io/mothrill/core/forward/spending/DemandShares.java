package io.mothrill.core.forward.spending;

/**
 * Shares nearly all of what is left, by demand.
 *
 * <p>Tokens that lie at an instance cost nothing while it lives, and after a crash only the opened
 * part of them is lost; so it pays to hold what a long cut may need. A little stays in the table
 * for instances that are new or in sudden need.
 */
public final class DemandShares implements SharePolicy {

  /** Share that stays in the table. */
  private static final double KEPT_BACK = 0.08;

  /** Part of the shares that is equal for all instances, so that new demand meets some tokens. */
  private static final double EQUAL_PART = 0.25;

  @Override
  public long holdingTokens(Situation situation) {
    double equal = 1.0 / Math.max(1, situation.instanceCount());
    double byDemand =
        situation.allDemandTokensPerS() <= 0
            ? equal
            : situation.ownDemandTokensPerS() / (double) situation.allDemandTokensPerS();
    double share = EQUAL_PART * equal + (1 - EQUAL_PART) * byDemand;
    return Math.round(Math.max(0, situation.leftTokens()) * (1 - KEPT_BACK) * share);
  }
}
