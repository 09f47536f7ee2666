package io.mothrill.core.forward.spending;

/**
 * Tracks how fast a team spends at this instance: a peak rate, which rises quickly and falls
 * slowly, and an average rate.
 */
final class Demand {

  /** Weight of the newest second while the rate rises: a burst shows within two seconds. */
  private static final double RISE_WEIGHT = 0.5;

  /**
   * Weight of the newest second while the rate falls, over about ten seconds, so that the instance
   * does not give up all its tokens in a short pause.
   */
  private static final double FALL_WEIGHT = 0.1;

  private static final double MS_PER_S = 1_000;

  /** Weight of the newest second in the average, which covers about the last ten seconds. */
  private static final double AVERAGE_WEIGHT = 0.15;

  private volatile double peakTokensPerS;
  private volatile double averageTokensPerS;
  private long updateCount;

  synchronized void update(long usedTokens, long elapsedMs) {
    double rate = Math.max(0, usedTokens) * MS_PER_S / Math.max(1, elapsedMs);
    double weight = rate > peakTokensPerS ? RISE_WEIGHT : FALL_WEIGHT;
    peakTokensPerS += weight * (rate - peakTokensPerS);
    updateCount++;
    averageTokensPerS += Math.max(AVERAGE_WEIGHT, 1.0 / updateCount) * (rate - averageTokensPerS);
  }

  long averageTokensPerS() {
    return Math.round(averageTokensPerS);
  }

  long peakTokensPerS() {
    return Math.round(peakTokensPerS);
  }
}
