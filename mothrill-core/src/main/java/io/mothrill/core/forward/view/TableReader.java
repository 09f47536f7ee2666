package io.mothrill.core.forward.view;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.view.table.TableCopy;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/**
 * Reads one table from the platform's store periodically.
 *
 * <p>Reads do not wait for change notifications: a subscription can stall unnoticed while changes
 * are made. Most reads request changes only. If all were whole, a list of a hundred upstreams would
 * take a tenth of a small instance's link, which its callers need. The whole table is read once the
 * copy was not confirmed for two intervals, in case a change was missed: if that read fails, there
 * is time for another one.
 *
 * <p>A read that is still receiving is not repeated: on a link that a response occupies for longer
 * than an interval, each repetition would delay all of them. A silent one is, since its connection
 * may have stalled while new connections work.
 */
final class TableReader {

  private static final int WHOLE_AFTER_INTERVALS = 2;

  /** Intervals in which a change must be known. */
  private static final int INTERVALS_PER_BOUND = 4;

  private static final int MAX_PENDING = 3;

  /** Shortest interval between reads of the whole table that requests wait for. */
  private static final long MIN_REFRESH_INTERVAL_MS = 100;

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
  private final ReadShare share;
  private final StoreClock storeClock;
  private final Timers timers;
  private final ReadStats stats;
  private final Listener listener;
  private final List<PendingRead> pending = new ArrayList<>();
  private List<CompletableFuture<Long>> refreshes = new ArrayList<>();
  private boolean isRefreshing;
  private long nextRefreshMs;
  private boolean due;
  private volatile boolean wholeFailed;
  private volatile long nextWholeMs = Long.MIN_VALUE;
  private volatile long answeredMs = TableRead.UNCONFIRMED;

  /** A read without a result. */
  private static final class PendingRead {
    private final long startedMs;
    private volatile long progressMs;

    PendingRead(long startedMs) {
      this.startedMs = startedMs;
      this.progressMs = startedMs;
    }
  }

  TableReader(
      ViewTable table,
      StateSource source,
      TableCopy copy,
      long intervalMs,
      ReadShare share,
      StoreClock storeClock,
      Timers timers,
      ReadStats stats,
      Listener listener) {
    this.table = table;
    this.source = source;
    this.copy = copy;
    this.intervalMs = intervalMs;
    this.share = share;
    this.storeClock = storeClock;
    this.timers = timers;
    this.stats = stats;
    this.listener = listener;
  }

  void start() {
    read();
    timers.every(intervalMs, this::onInterval);
  }

  private void onInterval() {
    boolean isStale = confirmedAgeMs() >= INTERVALS_PER_BOUND * intervalMs;
    if ((isStale || share.drawTurn()) && mayStart()) {
      read();
    }
  }

  private synchronized boolean mayStart() {
    long nowMs = timers.nowMs();
    boolean receiving =
        pending.stream()
            .anyMatch(
                read ->
                    nowMs - read.progressMs < intervalMs
                        && nowMs - read.startedMs < INTERVALS_PER_BOUND * intervalMs);
    due = receiving || pending.size() >= MAX_PENDING;
    if (due) {
      stats.onPostponed();
    }
    return !due;
  }

  /** Reads now; also the changes if the whole table is due but was not received last time. */
  void read() {
    boolean isWholeDue =
        !copy.isKnown()
            || (confirmedAgeMs() >= WHOLE_AFTER_INTERVALS * intervalMs
                && timers.nowMs() >= nextWholeMs);
    boolean hasWholeFailed = wholeFailed;
    if (isWholeDue) {
      readWhole((result, error) -> {});
    }
    if (copy.isKnown() && (!isWholeDue || hasWholeFailed)) {
      readChanges();
    }
  }

  /**
   * Reads the whole table; calls at about the same time share a read, and one runs at a time.
   *
   * @return when the table was complete, once the listener has received it; the read begins after
   *     this call
   */
  CompletableFuture<Long> refresh() {
    CompletableFuture<Long> result = new CompletableFuture<>();
    synchronized (this) {
      refreshes.add(result);
    }
    startRefresh();
    return result;
  }

  private void startRefresh() {
    long delayMs;
    synchronized (this) {
      if (isRefreshing || refreshes.isEmpty()) {
        return;
      }
      isRefreshing = true;
      delayMs = nextRefreshMs - timers.nowMs();
    }
    if (delayMs > 0) {
      timers.after(delayMs, this::readRefresh);
    } else {
      readRefresh();
    }
  }

  private void readRefresh() {
    List<CompletableFuture<Long>> waiting;
    synchronized (this) {
      waiting = refreshes;
      refreshes = new ArrayList<>();
      nextRefreshMs = timers.nowMs() + Math.max(MIN_REFRESH_INTERVAL_MS, share.minIntervalMs());
    }
    readWhole(
        (read, error) -> {
          waiting.forEach(refresh -> complete(refresh, read, error));
          synchronized (this) {
            isRefreshing = false;
          }
          startRefresh();
        });
  }

  private static void complete(CompletableFuture<Long> refresh, TableRead read, Throwable error) {
    if (error == null && read.confirmedStoreMs() > TableRead.UNCONFIRMED) {
      refresh.complete(read.confirmedStoreMs());
    } else {
      refresh.completeExceptionally(
          error == null ? new IllegalStateException("the store told no time") : error);
    }
  }

  private void readWhole(BiConsumer<TableRead, Throwable> onEnd) {
    PendingRead read = add();
    var unused =
        source
            .readWhole(table, () -> read.progressMs = timers.nowMs())
            .whenComplete(
                (result, error) -> {
                  wholeFailed = error != null;
                  deferWhole(read, wholeFailed);
                  onEnded(read, result, error);
                })
            .whenComplete(onEnd);
  }

  /**
   * Leaves the link to others for as long as the whole table took: on a link that it fills for
   * longer than its confirmation lasts, it would be read again at once, and forever.
   */
  private void deferWhole(PendingRead read, boolean hasFailed) {
    long nowMs = timers.nowMs();
    nextWholeMs = hasFailed ? nowMs : 2 * nowMs - read.startedMs;
  }

  private void readChanges() {
    PendingRead read = add();
    var unused =
        source
            .readChanges(table, copy.state().version(), () -> read.progressMs = timers.nowMs())
            .whenComplete((result, error) -> onEnded(read, result, error));
  }

  private synchronized PendingRead add() {
    PendingRead read = new PendingRead(timers.nowMs());
    pending.add(read);
    stats.onStarted();
    return read;
  }

  private void onEnded(PendingRead read, TableRead result, Throwable error) {
    long nowMs = timers.nowMs();
    stats.onEnded(
        read.startedMs,
        nowMs,
        error == null ? "answered" : String.valueOf(error.getMessage()),
        error == null);
    boolean readAgain;
    synchronized (this) {
      pending.remove(read);
      readAgain = due;
      due = false;
    }
    if (error == null) {
      answeredMs = nowMs;
      listener.onAnswered(result, read.startedMs);
    } else {
      listener.onFailed(Failures.unwrap(error), read.startedMs);
    }
    if (readAgain) {
      read();
    }
  }

  /**
   * Returns the time since the copy was known to be complete. Without an answer of the store its
   * clock is not known, and the age of what other instances have confirmed neither.
   */
  long confirmedAgeMs() {
    long storeMs = storeClock.nowMs();
    return storeMs <= 0 ? Long.MAX_VALUE : Math.max(0, storeMs - copy.state().confirmedStoreMs());
  }

  /** Checks whether the store has answered within an interval and a half. */
  boolean isAnswered() {
    return timers.nowMs() - answeredMs < intervalMs + intervalMs / 2;
  }
}
