package io.mothrill.core.forward.spending;

/** Follows how fast a team spends here: its peaks, up quickly and down slowly, and its average. */
final class Demand {

  /** Weight of the newest second while demand grows, so that a burst is seen within two. */
  private static final double RISE_WEIGHT = 0.5;

  /** The same while it falls: about ten seconds, so that a pause does not give all away. */
  private static final double FALL_WEIGHT = 0.1;

  private static final double MS_PER_S = 1_000;

  /** Weight of the newest second in the average: about the last ten count. */
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
