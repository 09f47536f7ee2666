package io.mothrill.core.forward.prompt;

import java.util.Arrays;
import java.util.stream.IntStream;

/** The share of each class of prompts in the demand for a service; immutable. */
final class DemandShares {

  private final double[] shares;

  /**
   * Computes the shares.
   *
   * @param demand the demand of each class; 0 for a class without demand
   */
  DemandShares(double[] demand) {
    double total = Arrays.stream(demand).sum();
    this.shares = Arrays.stream(demand).map(part -> total == 0 ? 0 : part / total).toArray();
  }

  static DemandShares none() {
    return new DemandShares(new double[PromptClass.COUNT]);
  }

  /**
   * Averages these shares with others; empty ones do not count.
   *
   * @param other the other shares
   * @param weight how much these shares count if the others count once
   */
  DemandShares averagedWith(DemandShares other, double weight) {
    if (isEmpty() || other.isEmpty()) {
      return isEmpty() ? other : this;
    }
    return new DemandShares(
        IntStream.range(0, shares.length)
            .mapToDouble(i -> weight * shares[i] + other.shares[i])
            .toArray());
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
