package io.mothrill.core.forward.capacity;

/**
 * A weighted running average that follows about the last 64 observations; immutable.
 *
 * @param weightedSum the sum of the observed values, each multiplied by its weight and decayed
 * @param weight the sum of the decayed weights
 */
record DecayingMean(double weightedSum, double weight) {

  static final DecayingMean EMPTY = new DecayingMean(0, 0);

  /**
   * Factor applied to earlier observations for each later one. One in four or five requests has a
   * long prompt, so the last 64 contain more than ten of these.
   */
  private static final double DECAY = 63.0 / 64;

  DecayingMean plus(double value, double valueWeight) {
    return new DecayingMean(
        weightedSum * DECAY + value * valueWeight, weight * DECAY + valueWeight);
  }

  double meanOr(double ifEmpty) {
    return weight > 0 ? weightedSum / weight : ifEmpty;
  }

  /** Returns the average together with an expected value that counts like some observations. */
  double meanWith(double expected, double expectedWeight) {
    return plus(expected, expectedWeight).meanOr(expected);
  }
}
