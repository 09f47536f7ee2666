package io.mothrill.core.forward.spending;

/** Decides how much of a team's unspent tokens an instance holds. */
public interface SharePolicy {

  /**
   * What a decision is made from.
   *
   * @param remainingTokens what the team has left that instances in touch can still use
   * @param ownDemandTokensPerS how fast this instance spends
   * @param allDemandTokensPerS how fast all instances in touch spend, this one included
   * @param instanceCount the instances in touch, this one included
   * @param typicalTokens the usual size of a request, or a guess before the first one
   */
  record Input(
      long remainingTokens,
      long ownDemandTokensPerS,
      long allDemandTokensPerS,
      int instanceCount,
      long typicalTokens) {}

  /**
   * Decides.
   *
   * @param input the situation
   * @return tokens to hold
   */
  long targetTokens(Input input);
}
