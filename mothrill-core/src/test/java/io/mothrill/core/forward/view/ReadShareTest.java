package io.mothrill.core.forward.view;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against a large fleet whose reads of plan and upstreams leave the store no room for
// budgets.
class ReadShareTest {

  private static final double MAX_READS_PER_S = 500;
  private static final ViewSettings SETTINGS = new ViewSettings(750, 500, 2_500, MAX_READS_PER_S);

  /** Returns the reads per second of a fleet in which every instance draws for each interval. */
  private static double readsPerS(int instances) {
    ReadShare share = new ReadShare(() -> instances, SETTINGS, new Random(1));
    int draws = 100_000;
    long turns = IntStream.range(0, draws).filter(draw -> share.drawTurn()).count();
    double ownReadsPerS = 1_000.0 / 750 + 1_000.0 / 500;
    return instances * ownReadsPerS * turns / draws;
  }

  @Test
  void smallFleetReadsAtEveryInterval() {
    assertThat(readsPerS(79)).isWithin(1).of(79 * (1_000.0 / 750 + 1_000.0 / 500));
  }

  @Test
  void largeFleetStaysWithinTheLimit() {
    assertThat(readsPerS(1_700)).isWithin(MAX_READS_PER_S / 20).of(MAX_READS_PER_S);
  }

  @Test
  void instanceReadsWhileTheFleetIsNotKnown() {
    assertThat(new ReadShare(() -> 0, SETTINGS, new Random(1)).drawTurn()).isTrue();
  }
}
