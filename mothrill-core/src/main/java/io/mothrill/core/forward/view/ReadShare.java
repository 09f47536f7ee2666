package io.mothrill.core.forward.view;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Limits the reads of all instances together to what the platform's store can take beside its other
 * calls.
 *
 * <p>Who reads is drawn each time, so that no instance depends on others that read for it.
 */
final class ReadShare {

  private static final double MS_PER_S = 1_000.0;

  private final IntSupplier instanceCount;
  private final double ownReadsPerS;
  private final double maxReadsPerS;
  private final RandomGenerator random;

  ReadShare(IntSupplier instanceCount, ViewSettings settings, RandomGenerator random) {
    this.instanceCount = instanceCount;
    this.ownReadsPerS = MS_PER_S / settings.planPollMs() + MS_PER_S / settings.upstreamPollMs();
    this.maxReadsPerS = settings.maxReadsPerS();
    this.random = random;
  }

  /** Returns the interval at which this instance may read if all others do so as well. */
  long minIntervalMs() {
    return Math.round(instanceCount.getAsInt() * MS_PER_S / maxReadsPerS);
  }

  /** Checks whether this instance reads in this interval. */
  boolean drawTurn() {
    double wantedPerS = instanceCount.getAsInt() * ownReadsPerS;
    return wantedPerS <= maxReadsPerS || random.nextDouble() * wantedPerS < maxReadsPerS;
  }
}
