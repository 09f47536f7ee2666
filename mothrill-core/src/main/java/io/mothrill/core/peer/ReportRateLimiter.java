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
  public boolean tryAcquire(long nowMs) {
    return tryAcquire(nowMs, 1);
  }

  /**
   * Acquires permission to send a report that counts several times.
   *
   * @param nowMs the current time of the timer service, in milliseconds
   * @param count how often it counts, for example once for each recipient
   * @return true when the report may be sent; otherwise it does not count
   */
  public synchronized boolean tryAcquire(long nowMs, int count) {
    if (nowMs - windowStartMs >= SECOND_MS) {
      windowStartMs = nowMs;
      sentInWindow = 0;
    }
    if (sentInWindow + count > maxPerS) {
      return false;
    }
    sentInWindow += count;
    return true;
  }
}
