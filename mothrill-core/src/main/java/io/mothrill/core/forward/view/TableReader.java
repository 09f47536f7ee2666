package io.mothrill.core.forward.view;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.view.table.TableCopy;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.time.Timers;

/**
 * Reads one table from the platform's store periodically.
 *
 * <p>Reads do not wait for change notifications: a subscription can stall unnoticed while changes
 * are made. Most reads request changes only. If all were whole, a list of a hundred upstreams would
 * take a tenth of a small instance's link, which its callers need. The whole table is read once the
 * copy was not confirmed for two intervals, in case a change was missed: if that read fails, there
 * is time for another one.
 *
 * <p>Reads start on schedule even if earlier ones are still pending. If a read that hangs on a
 * stalled connection delayed the next one, the copy would be older by the timeout of the read, and
 * an upstream that is leaving would get requests for too long.
 */
final class TableReader {

  private static final int WHOLE_AFTER_INTERVALS = 2;

  /** Receives the outcomes of reads. */
  interface Listener {

    /**
     * Called when a read was answered.
     *
     * @param read what was read
     * @param startedMs when the read was started
     */
    void onAnswered(TableRead read, long startedMs);

    /**
     * Called when a read has failed.
     *
     * @param error the reason
     * @param startedMs when the read was started
     */
    void onFailed(Throwable error, long startedMs);
  }

  private final ViewTable table;
  private final StateSource source;
  private final TableCopy copy;
  private final long intervalMs;
  private final StoreClock storeClock;
  private final Timers timers;
  private final ReadStats stats;
  private final Listener listener;
  private volatile boolean wholeFailed;

  TableReader(
      ViewTable table,
      StateSource source,
      TableCopy copy,
      long intervalMs,
      StoreClock storeClock,
      Timers timers,
      ReadStats stats,
      Listener listener) {
    this.table = table;
    this.source = source;
    this.copy = copy;
    this.intervalMs = intervalMs;
    this.storeClock = storeClock;
    this.timers = timers;
    this.stats = stats;
    this.listener = listener;
  }

  void start() {
    read();
    timers.every(intervalMs, this::read);
  }

  /** Reads now; also the changes if the whole table is due but was not received last time. */
  void read() {
    boolean isWholeDue = !copy.isKnown() || confirmedAgeMs() >= WHOLE_AFTER_INTERVALS * intervalMs;
    boolean hasWholeFailed = wholeFailed;
    if (isWholeDue) {
      readWhole();
    }
    if (copy.isKnown() && (!isWholeDue || hasWholeFailed)) {
      readChanges();
    }
  }

  private void readWhole() {
    long startedMs = start(stats);
    var unused =
        source
            .readWhole(table, () -> {})
            .whenComplete(
                (result, error) -> {
                  wholeFailed = error != null;
                  onEnded(startedMs, result, error);
                });
  }

  private void readChanges() {
    long startedMs = start(stats);
    var unused =
        source
            .readChanges(table, copy.state().version(), () -> {})
            .whenComplete((result, error) -> onEnded(startedMs, result, error));
  }

  private long start(ReadStats counted) {
    counted.onStarted();
    return timers.nowMs();
  }

  private void onEnded(long startedMs, TableRead result, Throwable error) {
    stats.onEnded(
        startedMs,
        timers.nowMs(),
        error == null ? "answered" : String.valueOf(error.getMessage()),
        error == null);
    if (error == null) {
      listener.onAnswered(result, startedMs);
    } else {
      listener.onFailed(Failures.unwrap(error), startedMs);
    }
  }

  /** Returns the time since the copy was known to be complete, at most. */
  long confirmedAgeMs() {
    return storeClock.nowMs() - copy.state().confirmedStoreMs();
  }
}
