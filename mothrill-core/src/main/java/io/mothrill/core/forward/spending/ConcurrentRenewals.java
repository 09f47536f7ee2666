package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The renewals that are under way: several may read at the same time, one writes.
 *
 * <p>Failure: a connection to the store goes silent while new ones work. Symptom: if the next
 * renewal waited for the one that hangs, the row would be older by its time-out, and a crash would
 * cost the more. So a round that reads for long is left alone, and another one reads beside it.
 */
final class ConcurrentRenewals {

  private final Timers timers;
  private final long stalledMs;
  private Renewal newest;
  private Renewal writing;
  private long lastWriteMs = Long.MIN_VALUE;

  ConcurrentRenewals(Timers timers, long stalledMs) {
    this.timers = timers;
    this.stalledMs = stalledMs;
  }

  /** One renewal, from its first read to its last write. */
  static final class Renewal {
    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final AtomicBoolean started = new AtomicBoolean();
    private long readingSinceMs;
    private boolean reading = true;

    private Renewal(long nowMs) {
      this.readingSinceMs = nowMs;
    }

    /** Completes with true when the row is renewed, by this round or by another one. */
    CompletableFuture<Boolean> result() {
      return result;
    }

    /** True for the first caller, which carries the round out. */
    boolean tryStart() {
      return started.compareAndSet(false, true);
    }
  }

  /** Gives the round that whoever needs a renewal now waits for: one under way, or a new one. */
  synchronized Renewal join() {
    if (writing != null) {
      return writing;
    }
    if (newest == null || isStalled(newest)) {
      newest = new Renewal(timers.nowMs());
    }
    return newest;
  }

  private boolean isStalled(Renewal renewal) {
    return renewal.reading && timers.nowMs() - renewal.readingSinceMs > stalledMs;
  }

  /** Notes that a round begins to read. */
  synchronized void onReadStarted(Renewal renewal) {
    renewal.reading = true;
    renewal.readingSinceMs = timers.nowMs();
  }

  /** Says whether a round that has read may write: no other does, or has since it began to read. */
  synchronized boolean tryStartWrite(Renewal renewal) {
    renewal.reading = false;
    if (writing != null || renewal.readingSinceMs < lastWriteMs) {
      return false;
    }
    writing = renewal;
    return true;
  }

  /** Notes that a round's write, or its read, has ended. */
  synchronized void onAttemptEnded(Renewal renewal, boolean written) {
    renewal.reading = false;
    if (writing == renewal) {
      writing = null;
      lastWriteMs = written ? timers.nowMs() : lastWriteMs;
    }
  }

  /** Ends a round. */
  void end(Renewal renewal, boolean renewed) {
    synchronized (this) {
      newest = newest == renewal ? null : newest;
    }
    renewal.result.complete(renewed);
  }
}
