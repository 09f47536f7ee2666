package io.mothrill.core.peer;

/** Bounds the reports that one instance sends to others in a second; any thread may use it. */
public final class ReportRateLimiter {

  private static final long SECOND_MS = 1_000;

  private final int maxPerS;
  private long windowStartMs = Long.MIN_VALUE / 2;
  private int sentInWindow;

  /**
   * Creates a bound.
   *
   * @param maxPerS reports in a second
   */
  public ReportRateLimiter(int maxPerS) {
    this.maxPerS = maxPerS;
  }

  /**
   * Asks for a report.
   *
   * @param nowMs the time
   * @return true when it may be sent
   */
  public synchronized boolean tryAcquire(long nowMs) {
    if (nowMs - windowStartMs >= SECOND_MS) {
      windowStartMs = nowMs;
      sentInWindow = 0;
    }
    return sentInWindow++ < maxPerS;
  }
}
