package io.mothrill.core.forward.contention;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Load: 25 instances and 63 engines, one of which is slow for 3 s. All instances kept sending to
 * such an engine, because each learned of it only from its own late responses.
 */
class SlowEngineLoadTest {

  private static final int SEEDS = 8;

  /**
   * Returns the requests that the engine receives once it could be detected. At its usual speed it
   * receives 18 per seed, a 63rd of all. Measured for all seeds: 26 with notices, 128 without.
   */
  private static long receivedAfterDetection(boolean noticesArrive) {
    return LongStream.range(0, SEEDS)
        .map(
            seed ->
                new SlowEngineSimulation(seed, noticesArrive)
                    .run()
                    .receivedBySlowEngine(
                        SlowEngineSimulation.SLOW_FROM_MS + 200,
                        SlowEngineSimulation.SLOW_UNTIL_MS))
        .sum();
  }

  @Test
  void noticesKeepMostRequestsFromTheSlowEngine() {
    // WHEN
    long withNotices = receivedAfterDetection(true);
    long withoutNotices = receivedAfterDetection(false);
    // THEN
    assertThat(withNotices).isAtMost(5L * SEEDS);
    assertThat(withoutNotices).isAtLeast(3 * withNotices);
  }
}
