package io.mothrill.core.peer;

/** Limits the reports that one instance sends to others per second. Thread-safe. */
public final class ReportRateLimiter {

  private static final long SECOND_MS = 1_000;

  private final int maxPerS;
  private long windowStartMs = Long.MIN_VALUE / 2;
  private int sentInWindow;

  /**
   * Creates a rate limiter.
   *
   * @param maxPerS the maximum number of reports per second
   */
  public ReportRateLimiter(int maxPerS) {
    this.maxPerS = maxPerS;
  }

  /**
   * Acquires permission to send a report.
   *
   * @param nowMs the current time of the timer service, in milliseconds
   * @return true when the report may be sent
   */
  public synchronized boolean tryAcquire(long nowMs) {
    if (nowMs - windowStartMs >= SECOND_MS) {
      windowStartMs = nowMs;
      sentInWindow = 0;
    }
    return sentInWindow++ < maxPerS;
  }
}
