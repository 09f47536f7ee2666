package io.mothrill.core.forward.lease;

/**
 * Estimates how long a reply may take from how long replies have taken, as TCP does (RFC 6298);
 * thread-safe. Busy instances reply late, but one that does not reply must not delay requests for
 * long.
 */
final class ReplyTimeout {

  private static final double MIN_MS = 100;
  private static final double MAX_MS = 1_000;
  private static final double INITIAL_MS = 250;
  private static final double AVERAGE_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final int DEVIATIONS = 4;

  private double averageMs;
  private double deviationMs;
  private double timeoutMs = INITIAL_MS;

  synchronized void onReply(long tookMs) {
    deviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - averageMs) - deviationMs);
    averageMs += AVERAGE_WEIGHT * (tookMs - averageMs);
    timeoutMs = bounded(averageMs + DEVIATIONS * deviationMs);
  }

  synchronized void onTimeout() {
    timeoutMs = bounded(2 * timeoutMs);
  }

  private static double bounded(double durationMs) {
    return Math.max(MIN_MS, Math.min(MAX_MS, durationMs));
  }

  synchronized long timeoutMs() {
    return (long) timeoutMs;
  }
}
