package io.mothrill.daemon.log;

/** A thread-safe rate limiter that admits a number of lines per second and counts the others. */
public final class LogRateLimiter {

  private static final long MS_PER_S = 1_000;

  private final int linesPerS;
  private long second;
  private int lines;
  private long skipped;

  /**
   * Creates a rate limiter.
   *
   * @param linesPerS the maximum number of lines per second
   */
  public LogRateLimiter(int linesPerS) {
    this.linesPerS = linesPerS;
  }

  /**
   * Requests permission to write a line.
   *
   * @param nowMs the current time
   * @return true when the line may be written
   */
  public synchronized boolean tryAcquire(long nowMs) {
    if (nowMs / MS_PER_S != second) {
      second = nowMs / MS_PER_S;
      lines = 0;
    }
    if (lines >= linesPerS) {
      skipped++;
      return false;
    }
    lines++;
    return true;
  }

  /**
   * Returns the number of lines that were not admitted.
   *
   * @return the number of lines since the start
   */
  public synchronized long skippedCount() {
    return skipped;
  }
}
