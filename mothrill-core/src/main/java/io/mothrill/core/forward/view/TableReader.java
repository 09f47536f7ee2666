package io.mothrill.core.forward.view;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.view.table.TableCopy;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads one table from the platform's store periodically.
 *
 * <p>Reads do not wait for change notifications: a subscription can stall unnoticed while changes
 * are made. Most reads request changes only. If all were whole, a list of a hundred upstreams would
 * take a tenth of a small instance's link, which its callers need. One in four reads is whole, in
 * case a change was missed.
 *
 * <p>Reads start on schedule even if earlier ones are still pending. If a read that hangs on a
 * stalled connection delayed the next one, the copy would be older by the timeout of the read, and
 * an upstream that is leaving would get requests for too long.
 */
final class TableReader {

  /** Four reads fit into the time in which a change must be known, so one of them is whole. */
  private static final int WHOLE_READ_EVERY = 4;

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
  private final AtomicInteger readCount = new AtomicInteger();

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

  /** Reads now. */
  void read() {
    long startedMs = timers.nowMs();
    stats.onStarted();
    boolean isWholeDue = readCount.getAndIncrement() % WHOLE_READ_EVERY == 0;
    CompletableFuture<TableRead> response =
        isWholeDue || !copy.isKnown()
            ? source.readWhole(table, () -> {})
            : source.readChanges(table, copy.state().version(), () -> {});
    var unused =
        response.whenComplete(
            (result, error) -> {
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
            });
  }

  /** Returns the time since the copy was known to be complete, at most. */
  long confirmedAgeMs() {
    return storeClock.nowMs() - copy.state().confirmedStoreMs();
  }
}
