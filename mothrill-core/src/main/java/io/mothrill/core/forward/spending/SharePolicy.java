package io.mothrill.core.forward.spending;

/** Decides how many of a team's unspent tokens an instance holds. */
public interface SharePolicy {

  /**
   * The input of a decision.
   *
   * @param remainingTokens the team's remaining tokens that active instances can still use
   * @param ownDemandTokensPerS the rate at which this instance spends
   * @param allDemandTokensPerS the rate at which all active instances spend, including this one
   * @param instanceCount the number of active instances, including this one
   * @param typicalTokens the typical size of a request, or a default before the first one
   */
  record Input(
      long remainingTokens,
      long ownDemandTokensPerS,
      long allDemandTokensPerS,
      int instanceCount,
      long typicalTokens) {}

  /**
   * Returns the number of tokens that the instance should hold.
   *
   * @param input the input
   * @return the tokens to hold
   */
  long targetTokens(Input input);
}
