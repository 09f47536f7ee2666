package io.mothrill.core.forward.spending;

/**
 * Assigns nearly all of a team's remaining tokens to instances, by demand.
 *
 * <p>Held tokens cost nothing while an instance runs, and a crash loses only the part that its
 * bound has released. An instance therefore holds what a long store outage may require. A small
 * part stays unassigned for new instances and for sudden demand.
 *
 * <p>The fewer typical requests an equal share covers, the more stays unassigned: request sizes
 * differ, and with many instances a share of one or two requests is often too small for the next
 * one.
 *
 * <p>If an equal share would not cover one typical request, nothing is held in advance, so that the
 * next request can use all that remains. The last tokens would otherwise be split into parts that
 * are smaller than a request, and every instance would refuse a request that all of them together
 * could serve.
 */
public final class DemandSharePolicy implements SharePolicy {

  /** Minimum fraction that stays unassigned in the table. */
  private static final double MIN_UNASSIGNED_FRACTION = 0.08;

  /** Minimum fraction that is shared equally, so that new demand finds some tokens. */
  private static final double MIN_EQUAL_FRACTION = 0.25;

  /** Time for which the demand estimate, which follows peaks, reflects past requests. */
  private static final double DEMAND_MEMORY_S = 5;

  /** Recent requests per instance at which demand has the same weight as an equal share. */
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
   * Returns the fraction that is shared equally instead of by demand.
   *
   * <p>If each of many instances receives only an occasional request of the team, shares by demand
   * would move the tokens to the instances that received the latest requests, and the next request
   * would reach an instance that holds too little. The fewer recent requests there are per
   * instance, the less weight demand has.
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
