package io.mothrill.core.platform;

import io.mothrill.core.time.Timers;

/**
 * Uses this instance's wall clock for a store that does not report its time.
 *
 * <p>It is suitable only where the skew between wall clocks is tolerable, such as for the minutes
 * during which a request is refused. Budget limits must not depend on it.
 */
public final class WallClockStoreClock implements StoreClock {

  private final Timers timers;

  /**
   * Creates the clock.
   *
   * @param timers the timer service
   */
  public WallClockStoreClock(Timers timers) {
    this.timers = timers;
  }

  @Override
  public long nowMs() {
    return timers.wallMs();
  }

  @Override
  public long upperBoundMs(long monotonicMs) {
    return timers.wallMs() - timers.nowMs() + monotonicMs;
  }
}
