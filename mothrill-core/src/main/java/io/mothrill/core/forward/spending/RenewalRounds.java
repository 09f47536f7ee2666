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
final class RenewalRounds {

  private final Timers timers;
  private final long hangingMs;
  private Round newest;
  private Round writing;
  private long writtenMs = Long.MIN_VALUE;

  RenewalRounds(Timers timers, long hangingMs) {
    this.timers = timers;
    this.hangingMs = hangingMs;
  }

  /** One renewal, from its first read to its last write. */
  static final class Round {
    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final AtomicBoolean begun = new AtomicBoolean();
    private long readingSinceMs;
    private boolean reading = true;

    private Round(long nowMs) {
      this.readingSinceMs = nowMs;
    }

    /** Completes with true when the row is renewed, by this round or by another one. */
    CompletableFuture<Boolean> result() {
      return result;
    }

    /** True for the first caller, which carries the round out. */
    boolean begin() {
      return begun.compareAndSet(false, true);
    }
  }

  /** Gives the round that whoever needs a renewal now waits for: one under way, or a new one. */
  synchronized Round join() {
    if (writing != null) {
      return writing;
    }
    if (newest == null || isHanging(newest)) {
      newest = new Round(timers.nowMs());
    }
    return newest;
  }

  private boolean isHanging(Round round) {
    return round.reading && timers.nowMs() - round.readingSinceMs > hangingMs;
  }

  /** Notes that a round begins to read. */
  synchronized void onReading(Round round) {
    round.reading = true;
    round.readingSinceMs = timers.nowMs();
  }

  /** Says whether a round that has read may write: no other does, or has since it began to read. */
  synchronized boolean tryWrite(Round round) {
    round.reading = false;
    if (writing != null || round.readingSinceMs < writtenMs) {
      return false;
    }
    writing = round;
    return true;
  }

  /** Notes that a round's write, or its read, has ended. */
  synchronized void onWritten(Round round, boolean written) {
    round.reading = false;
    if (writing == round) {
      writing = null;
      writtenMs = written ? timers.nowMs() : writtenMs;
    }
  }

  /** Ends a round. */
  void end(Round round, boolean renewed) {
    synchronized (this) {
      newest = newest == round ? null : newest;
    }
    round.result.complete(renewed);
  }
}
