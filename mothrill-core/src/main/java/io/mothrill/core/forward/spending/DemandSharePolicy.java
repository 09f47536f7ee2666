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
public final class DemandSharePolicy implements SharePolicy {

  /** Share that stays in the table at least. */
  private static final double MIN_UNASSIGNED_FRACTION = 0.08;

  /** Least part of the shares that is equal, so that new demand meets some tokens. */
  private static final double MIN_EQUAL_FRACTION = 0.25;

  /** Demand remembers the requests of about so many seconds, counted by its peaks. */
  private static final double DEMAND_MEMORY_S = 5;

  /** Remembered requests of an instance at which its demand counts as much as an equal share. */
  private static final double HALF_WEIGHT_REQUESTS = 4;

  @Override
  public long targetTokens(Input input) {
    if (input.remainingTokens() < input.instanceCount() * input.typicalTokens()) {
      return 0;
    }
    double equal = 1.0 / Math.max(1, input.instanceCount());
    double byDemand =
        input.allDemandTokensPerS() <= 0
            ? equal
            : input.ownDemandTokensPerS() / (double) input.allDemandTokensPerS();
    double equalFraction = equalFraction(input);
    double share = equalFraction * equal + (1 - equalFraction) * byDemand;
    return Math.round(
        Math.max(0, input.remainingTokens()) * (1 - unassignedFraction(input)) * share);
  }

  /**
   * Gives the part of the shares that does not follow demand.
   *
   * <p>Failure: each of many instances gets a request of the team now and then. Symptom: tokens
   * follow those that happened to be asked last, and the next request comes to another one, which
   * holds too little. The fewer requests an instance can remember, the less its demand tells.
   */
  private static double equalFraction(Input input) {
    double requestsPerS =
        input.allDemandTokensPerS() / (double) input.typicalTokens() / input.instanceCount();
    double remembered = requestsPerS * DEMAND_MEMORY_S;
    return Math.max(MIN_EQUAL_FRACTION, HALF_WEIGHT_REQUESTS / (HALF_WEIGHT_REQUESTS + remembered));
  }

  private static double unassignedFraction(Input input) {
    double equalShareTokens = input.remainingTokens() / (double) input.instanceCount();
    double requests = equalShareTokens / input.typicalTokens();
    return Math.max(MIN_UNASSIGNED_FRACTION, 1 / Math.pow(1 + requests, 2));
  }
}
