package io.mothrill.core.forward.spending;

/** Decides how much of a team's unspent tokens an instance holds. */
public interface SharePolicy {

  /**
   * What a decision is made from.
   *
   * @param leftTokens what the team has left that instances in touch can still use
   * @param ownDemandTokensPerS how fast this instance spends
   * @param allDemandTokensPerS how fast all instances in touch spend, this one included
   * @param instanceCount the instances in touch, this one included
   * @param typicalTokens the usual size of a request, or a guess before the first one
   */
  record Situation(
      long leftTokens,
      long ownDemandTokensPerS,
      long allDemandTokensPerS,
      int instanceCount,
      long typicalTokens) {}

  /**
   * Decides.
   *
   * @param situation the situation
   * @return tokens to hold
   */
  long holdingTokens(Situation situation);
}
