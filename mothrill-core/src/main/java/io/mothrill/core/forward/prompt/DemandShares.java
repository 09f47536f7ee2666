package io.mothrill.core.forward.prompt;

import java.util.Arrays;

/** The share of each class of prompts in the prefill time of a service; immutable. */
final class DemandShares {

  private final double[] shares;

  /**
   * Computes the shares.
   *
   * @param prefillMs the prefill time of each class; 0 for a class without demand
   */
  DemandShares(double[] prefillMs) {
    double totalMs = Arrays.stream(prefillMs).sum();
    this.shares =
        Arrays.stream(prefillMs).map(timeMs -> totalMs == 0 ? 0 : timeMs / totalMs).toArray();
  }

  static DemandShares none() {
    return new DemandShares(new double[PromptClass.COUNT]);
  }

  boolean isEmpty() {
    return Arrays.stream(shares).sum() == 0;
  }

  boolean isDemanded(PromptClass promptClass) {
    return of(promptClass) > 0;
  }

  double of(PromptClass promptClass) {
    return shares[promptClass.ordinal()];
  }
}
