package io.mothrill.core.peer;

/** Bounds the reports that one instance sends to others in a second; any thread may use it. */
public final class ReportRate {

  private static final long SECOND_MS = 1_000;

  private final int maxPerS;
  private long secondBeganMs = Long.MIN_VALUE / 2;
  private int sentInSecond;

  /**
   * Creates a bound.
   *
   * @param maxPerS reports in a second
   */
  public ReportRate(int maxPerS) {
    this.maxPerS = maxPerS;
  }

  /**
   * Asks for a report.
   *
   * @param nowMs the time
   * @return true when it may be sent
   */
  public synchronized boolean tryReport(long nowMs) {
    if (nowMs - secondBeganMs >= SECOND_MS) {
      secondBeganMs = nowMs;
      sentInSecond = 0;
    }
    return sentInSecond++ < maxPerS;
  }
}
