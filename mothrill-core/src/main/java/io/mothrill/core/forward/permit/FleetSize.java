package io.mothrill.core.forward.permit;

import io.mothrill.core.time.Timers;
import java.util.OptionalInt;

/**
 * How many instances there are, from the view of one that may be cut off from the list of them.
 *
 * <p>Instances drop out of the list while they are cut off, and go on sending. So the largest
 * number that was seen of late counts.
 */
final class FleetSize {

  /** Longer than most cuts last. */
  private static final long REMEMBERED_MS = 60_000;

  private static final long LOOK_MS = 1_000;

  private final FleetView fleet;
  private final Timers timers;
  private boolean known;
  private int mostCount;
  private long mostSeenMs;

  FleetSize(FleetView fleet, Timers timers) {
    this.fleet = fleet;
    this.timers = timers;
    timers.every(LOOK_MS, this::count);
  }

  /** Gives the size; empty until the list has been current once. */
  synchronized OptionalInt count() {
    known |= fleet.isCurrent();
    int count = fleet.others().size() + 1;
    long nowMs = timers.nowMs();
    if (count >= mostCount || nowMs - mostSeenMs > REMEMBERED_MS) {
      mostCount = count;
      mostSeenMs = nowMs;
    }
    return known ? OptionalInt.of(mostCount) : OptionalInt.empty();
  }
}
