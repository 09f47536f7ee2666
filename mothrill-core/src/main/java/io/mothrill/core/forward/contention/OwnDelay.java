package io.mothrill.core.forward.contention;

import io.mothrill.core.time.Timers;

/**
 * Measures for how long this instance itself did not run, by the lateness of a periodic tick.
 *
 * <p>An instance that was suspended, or that has used up its share of the processor, reads
 * responses late. Without this measure it would take the delay for the wait of all its upstreams
 * and report it to the others.
 */
final class OwnDelay {

  /** Interval of the tick. */
  static final long INTERVAL_MS = 50;

  /** Normal lateness of a timer. */
  private static final long TOLERANCE_MS = 5;

  /** Lateness after which received reports are too old to be used. */
  private static final long BEHIND_MS = 100;

  /** Time in which the datagrams that arrived during a delay have been read. */
  private static final long CATCH_UP_MS = 50;

  private final Timers timers;
  private boolean started;
  private long lastTickMs;
  private long lostMs;
  private long caughtUpAtMs = Long.MIN_VALUE / 2;

  OwnDelay(Timers timers) {
    this.timers = timers;
    this.lastTickMs = timers.nowMs();
  }

  /** Called when the tick begins. */
  synchronized void start() {
    lastTickMs = timers.nowMs();
    started = true;
  }

  /** Called every {@link #INTERVAL_MS}. */
  synchronized void onTick() {
    long nowMs = timers.nowMs();
    long lateMs = lateMs(nowMs);
    lostMs += lateMs;
    if (lateMs >= BEHIND_MS) {
      caughtUpAtMs = nowMs + CATCH_UP_MS;
    }
    lastTickMs = nowMs;
  }

  private long lateMs(long nowMs) {
    long lateMs = nowMs - lastTickMs - INTERVAL_MS;
    return started && lateMs > TOLERANCE_MS ? lateMs : 0;
  }

  /** Returns the total time for which the instance did not run; never decreases. */
  synchronized long lostMs() {
    return lostMs + lateMs(timers.nowMs());
  }

  /** Checks whether what is read now may have arrived long ago. */
  synchronized boolean isBehind() {
    long nowMs = timers.nowMs();
    return lateMs(nowMs) >= BEHIND_MS || nowMs < caughtUpAtMs;
  }
}
