package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Coordinates the renewals in flight: several may read at the same time, but only one writes.
 *
 * <p>A connection to the store may stall while new ones work. If the next renewal waited for a
 * stalled one, the row would age by the length of the timeout, and a crash would cost accordingly
 * more tokens. A renewal whose read takes too long is therefore left alone, and another one reads
 * at the same time.
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

    /**
     * Returns a future that completes with true when the row is renewed, by this renewal or by
     * another one.
     */
    CompletableFuture<Boolean> result() {
      return result;
    }

    /** Returns true to the first caller only, which then performs the renewal. */
    boolean tryStart() {
      return started.compareAndSet(false, true);
    }
  }

  /** Returns the renewal to wait for: one that is in flight, or a new one. */
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

  /** Called when a renewal starts to read. */
  synchronized void onReadStarted(Renewal renewal) {
    renewal.reading = true;
    renewal.readingSinceMs = timers.nowMs();
  }

  /**
   * Checks whether a renewal may write after its read, and marks it as the writer: no other renewal
   * may be writing, or have written since this read started.
   */
  synchronized boolean tryStartWrite(Renewal renewal) {
    renewal.reading = false;
    if (writing != null || renewal.readingSinceMs < lastWriteMs) {
      return false;
    }
    writing = renewal;
    return true;
  }

  /** Called when a renewal's write has ended, or its read without a write. */
  synchronized void onAttemptEnded(Renewal renewal, boolean written) {
    renewal.reading = false;
    if (writing == renewal) {
      writing = null;
      lastWriteMs = written ? timers.nowMs() : lastWriteMs;
    }
  }

  /** Completes a renewal. */
  void end(Renewal renewal, boolean renewed) {
    synchronized (this) {
      newest = newest == renewal ? null : newest;
    }
    renewal.result.complete(renewed);
  }
}
