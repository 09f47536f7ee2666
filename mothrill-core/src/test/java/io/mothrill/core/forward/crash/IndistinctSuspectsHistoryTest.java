package io.mothrill.core.forward.crash;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Guards against sound requests that are refused for long because their parts always came with a
// crashing one, and against crashing more upstreams to find that out.
class IndistinctSuspectsHistoryTest {

  private static final int DURATION_MS = 10_000;
  private static final long MAX_REFUSAL_MS = 2_000;

  /** Three crashes, and one more to tell the suspects apart. */
  private static final int MAX_CRASHES = 4;

  @ParameterizedTest
  @CsvSource({"1, 0, 40", "8, 0, 40", "8, 0.1, 40", "68, 0.1, 20", "300, 0.1, 10"})
  void soundRequestsAreServedSoon(int instances, double lossShare, int histories) {
    for (int seed = 0; seed < histories; seed++) {
      IndistinctSuspectsHistory history = new IndistinctSuspectsHistory(instances, lossShare, seed);

      history.play(DURATION_MS, 0, 0);

      assertBounds(history, seed);
    }
  }

  // All instances are replaced at a moment that may lie before, in or after the trial.
  @ParameterizedTest
  @CsvSource({"1, 0, 40", "8, 0.1, 40", "68, 0.1, 20", "300, 0.1, 10"})
  void soundRequestsAreServedSoonAfterRestarts(int instances, double lossShare, int histories) {
    for (int seed = 0; seed < histories; seed++) {
      IndistinctSuspectsHistory history = new IndistinctSuspectsHistory(instances, lossShare, seed);

      history.play(DURATION_MS, 0, 2_000 + 100 * seed);

      assertBounds(history, seed);
    }
  }

  private static void assertBounds(IndistinctSuspectsHistory history, int seed) {
    assertWithMessage("upstreams crashed by the part, seed %s", seed)
        .that(history.crashesByPart())
        .isAtMost(MAX_CRASHES);
    assertWithMessage("longest refusal of a sound request, seed %s", seed)
        .that(history.longestRefusalMs())
        .isAtMost(MAX_REFUSAL_MS);
  }

  // Upstreams crash for other reasons too. Half of the sound requests at least are served, which is
  // what the users accept beside such a part.
  @ParameterizedTest
  @CsvSource({"1, 0, 40", "8, 0.1, 40", "68, 0.1, 20", "300, 0.1, 10"})
  void soundRequestsAreServedBesideOtherCrashes(int instances, double lossShare, int histories) {
    for (int seed = 0; seed < histories; seed++) {
      IndistinctSuspectsHistory history = new IndistinctSuspectsHistory(instances, lossShare, seed);

      history.play(DURATION_MS, 700, 0);

      assertWithMessage("sound requests served of %s, seed %s", history.sound(), seed)
          .that(2 * history.soundSent())
          .isAtLeast(history.sound());
    }
  }
}
