package io.mothrill.core.forward.spending;

/**
 * Shares nearly all of what is left, by demand.
 *
 * <p>Tokens that lie at an instance cost nothing while it lives, and after a crash only the opened
 * part of them is lost; so it pays to hold what a long cut may need. A little stays in the table
 * for instances that are new or in sudden need.
 *
 * <p>The fewer usual requests an equal share covers, the more stays in the table: requests differ
 * in size, and with many instances a share of one or two of them is often too little for the next.
 *
 * <p>Failure: the last tokens lie in pieces, each smaller than a request. Symptom: every instance
 * refuses a request that all of them together could serve. When an equal share would not cover one
 * usual request, nothing is held ahead of need, so that the next request finds all of it.
 */
public final class DemandShares implements SharePolicy {

  /** Share that stays in the table at least. */
  private static final double LEAST_KEPT_BACK = 0.08;

  /** Part of the shares that is equal for all instances, so that new demand meets some tokens. */
  private static final double EQUAL_PART = 0.25;

  @Override
  public long holdingTokens(Situation situation) {
    if (situation.leftTokens() < situation.instanceCount() * situation.typicalTokens()) {
      return 0;
    }
    double equal = 1.0 / Math.max(1, situation.instanceCount());
    double byDemand =
        situation.allDemandTokensPerS() <= 0
            ? equal
            : situation.ownDemandTokensPerS() / (double) situation.allDemandTokensPerS();
    double share = EQUAL_PART * equal + (1 - EQUAL_PART) * byDemand;
    return Math.round(Math.max(0, situation.leftTokens()) * (1 - keptBack(situation)) * share);
  }

  private static double keptBack(Situation situation) {
    double equalShareTokens = situation.leftTokens() / (double) situation.instanceCount();
    double requests = equalShareTokens / situation.typicalTokens();
    return Math.max(LEAST_KEPT_BACK, 1 / Math.pow(1 + requests, 2));
  }
}
