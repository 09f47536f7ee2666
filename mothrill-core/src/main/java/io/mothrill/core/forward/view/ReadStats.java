package io.mothrill.core.forward.view;

import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.peer.ReportRateLimiter;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/** Counts the reads of one table from the platform's store, and logs those that take long. */
public final class ReadStats {

  private static final int MAX_LINES_PER_S = 1;

  private final ViewTable table;
  private final long slowMs;
  private final AtomicInteger pending = new AtomicInteger();
  private final LongAdder answered = new LongAdder();
  private final LongAdder failed = new LongAdder();
  private final LongAdder postponed = new LongAdder();
  private final LongAccumulator longestMs = new LongAccumulator(Math::max, 0);
  private final ReportRateLimiter lines = new ReportRateLimiter(MAX_LINES_PER_S);

  /**
   * Creates empty counts.
   *
   * @param table the table
   * @param slowMs the time after which a read is logged
   */
  ReadStats(ViewTable table, long slowMs) {
    this.table = table;
    this.slowMs = slowMs;
  }

  void onStarted() {
    pending.incrementAndGet();
  }

  void onEnded(long startedMs, long nowMs, String outcome, boolean isAnswered) {
    int pendingCount = pending.getAndDecrement();
    (isAnswered ? answered : failed).increment();
    longestMs.accumulate(nowMs - startedMs);
    if (nowMs - startedMs >= slowMs && lines.tryAcquire(nowMs)) {
      Logger.info(
          "slow read table={} tookMs={} pending={} outcome={}",
          table,
          nowMs - startedMs,
          pendingCount,
          outcome);
    }
  }

  void onPostponed() {
    postponed.increment();
  }

  /**
   * Returns the number of reads that were answered.
   *
   * @return reads since the start
   */
  public long answeredCount() {
    return answered.sum();
  }

  /**
   * Returns the number of reads that failed.
   *
   * @return reads since the start
   */
  public long failedCount() {
    return failed.sum();
  }

  /**
   * Returns the number of reads that were postponed because an earlier one had not ended.
   *
   * @return reads since the start
   */
  public long postponedCount() {
    return postponed.sum();
  }

  /**
   * Returns the number of reads in flight.
   *
   * @return reads without an outcome
   */
  public int pendingCount() {
    return pending.get();
  }

  /**
   * Returns the longest time that a read has taken.
   *
   * @return milliseconds, answered or failed
   */
  public long longestMs() {
    return longestMs.get();
  }
}
