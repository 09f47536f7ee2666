package io.mothrill.daemon.log;

/** Lets through a number of lines in each second and counts the others; any thread may use it. */
public final class LogRateLimiter {

  private static final long MS_PER_S = 1_000;

  private final int linesPerS;
  private long second;
  private int lines;
  private long skipped;

  /**
   * Creates a limit.
   *
   * @param linesPerS lines in a second
   */
  public LogRateLimiter(int linesPerS) {
    this.linesPerS = linesPerS;
  }

  /**
   * Asks for a line.
   *
   * @param nowMs the time
   * @return true when it may be written
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
   * Counts the lines that were not let through.
   *
   * @return lines since the start
   */
  public synchronized long skippedCount() {
    return skipped;
  }
}
