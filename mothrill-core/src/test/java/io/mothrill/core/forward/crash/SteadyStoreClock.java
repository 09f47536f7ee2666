package io.mothrill.core.forward.crash;

import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.time.Timers;

/** A store's clock that advances with the test's clock, from another origin. */
record SteadyStoreClock(Timers timers) implements StoreClock {

  private static final long ORIGIN_MS = 5_000_000;

  @Override
  public long nowMs() {
    return timers.nowMs() + ORIGIN_MS;
  }

  @Override
  public long upperBoundMs(long steadyMs) {
    return steadyMs + ORIGIN_MS;
  }
}
