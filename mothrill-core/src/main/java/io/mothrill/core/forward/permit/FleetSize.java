package io.mothrill.core.forward.permit;

import io.mothrill.core.time.Timers;
import java.util.OptionalInt;

/**
 * Estimates the number of instances from the view of one that may be partitioned from the others.
 *
 * <p>Instances disappear from the list while they are partitioned, but continue to send requests.
 * The estimate is therefore the largest number seen recently.
 */
final class FleetSize {

  /** Longer than most partitions last. */
  private static final long RETENTION_MS = 60_000;

  private static final long CHECK_INTERVAL_MS = 1_000;

  private final FleetView fleet;
  private final Timers timers;
  private boolean known;
  private int maxCount;
  private long maxSeenMs;

  FleetSize(FleetView fleet, Timers timers) {
    this.fleet = fleet;
    this.timers = timers;
    timers.every(CHECK_INTERVAL_MS, this::count);
  }

  /** Returns the number of instances; empty until the list has been current once. */
  synchronized OptionalInt count() {
    known |= fleet.isCurrent();
    int count = fleet.others().size() + 1;
    long nowMs = timers.nowMs();
    if (count >= maxCount || nowMs - maxSeenMs > RETENTION_MS) {
      maxCount = count;
      maxSeenMs = nowMs;
    }
    return known ? OptionalInt.of(maxCount) : OptionalInt.empty();
  }
}
