package io.mothrill.core.forward.admission;

import java.util.Arrays;

/** Computes max-min fair shares: what some do not use is available to the others. */
final class MaxMinShares {

  private MaxMinShares() {}

  /**
   * Returns the share that nobody may exceed, so that the shares of all add up to the capacity.
   *
   * @param demands the demand of each participant
   * @param capacity what is to be shared
   * @return the largest share; infinite if the capacity covers all demands
   */
  static double largestShare(double[] demands, double capacity) {
    double[] ascending = demands.clone();
    Arrays.sort(ascending);
    double remaining = capacity;
    for (int index = 0; index < ascending.length; index++) {
      double equalShare = remaining / (ascending.length - index);
      if (ascending[index] > equalShare) {
        return Math.max(0, equalShare);
      }
      remaining -= ascending[index];
    }
    return Double.POSITIVE_INFINITY;
  }
}
