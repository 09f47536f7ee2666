package io.mothrill.core.work;

import io.mothrill.core.time.Timers;
import java.util.concurrent.atomic.LongAccumulator;

/**
 * Measures how late timer tasks run, which shows how far the event loops are behind.
 *
 * <pre>{@code
 * TimerLateness lateness = new TimerLateness(timers);
 * long sinceLastCallMs = lateness.takeMaxMs();
 * }</pre>
 */
public final class TimerLateness {

  private static final long INTERVAL_MS = 100;

  private final Timers timers;
  private final LongAccumulator maxMs = new LongAccumulator(Math::max, 0);
  private volatile long lastMs;

  /**
   * Starts to measure.
   *
   * @param timers the timers
   */
  public TimerLateness(Timers timers) {
    this.timers = timers;
    this.lastMs = timers.nowMs();
    timers.every(INTERVAL_MS, this::measure);
  }

  private void measure() {
    long nowMs = timers.nowMs();
    maxMs.accumulate(nowMs - lastMs - INTERVAL_MS);
    lastMs = nowMs;
  }

  /**
   * Returns the longest delay since the last call.
   *
   * @return milliseconds
   */
  public long takeMaxMs() {
    return maxMs.getThenReset();
  }
}
