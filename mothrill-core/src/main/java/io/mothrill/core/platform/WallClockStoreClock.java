package io.mothrill.core.platform;

import io.mothrill.core.time.Timers;

/**
 * Stands in for the clock of a store that does not tell its time: the wall clock of this instance.
 *
 * <p>It is only good for times that may be wrong by what wall clocks differ, such as the minutes
 * for which a request is refused; nothing that guards a budget may go by it.
 */
public final class WallClockStoreClock implements StoreClock {

  private final Timers timers;

  /**
   * Creates the clock.
   *
   * @param timers the time
   */
  public WallClockStoreClock(Timers timers) {
    this.timers = timers;
  }

  @Override
  public long nowMs() {
    return timers.wallMs();
  }

  @Override
  public long upperBoundMs(long steadyMs) {
    return timers.wallMs() - timers.nowMs() + steadyMs;
  }
}
