package io.mothrill.core.forward.stream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.fake.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Guards against streams that go on at another version, or not at all, after all instances have
// lost their memory while two versions served.
class StreamsAfterPowerLossTest {

  private static final int STREAMS_PER_S = 30;
  private static final int UPSTREAMS = 12;
  private static final long STEP_MS = 400;

  /** Replaces a number of upstreams one after the other. */
  private static void replace(ReplacementHistory history, int count) {
    for (int number = 0; number < count; number++) {
      history.replace(1);
      history.advanceMs(STEP_MS, STREAMS_PER_S);
    }
  }

  private static void assertGoneOn(ReplacementHistory history, long seed) {
    assertWithMessage("streams joined from two versions, seed %s", seed)
        .that(history.joined())
        .isEqualTo(0);
    assertWithMessage("streams gone on of %s, seed %s", history.takenUp(), seed)
        .that(history.goneOn())
        .isAtLeast(history.takenUp() * 9 / 10);
    assertThat(history.takenUp()).isAtLeast(10);
  }

  // All instances are killed in the first, middle or last third of a replacement.
  @ParameterizedTest
  @CsvSource({
    "6, 2, 10",
    "6, 6, 10",
    "6, 10, 10",
    "62, 2, 4",
    "62, 6, 4",
    "62, 10, 4",
    "300, 6, 1"
  })
  void streamsGoOnAfterPowerLossInReplacement(int instances, int replaced, int histories) {
    for (long seed = 0; seed < histories; seed++) {
      ReplacementHistory history = new ReplacementHistory(instances, seed);
      history.advanceMs(8_000, STREAMS_PER_S);
      replace(history, replaced);
      history.killAll();
      history.advanceMs(2_000, STREAMS_PER_S);
      replace(history, UPSTREAMS - replaced - 1);
      history.advanceMs(8_000, STREAMS_PER_S);

      assertGoneOn(history, seed);
    }
  }

  // Two versions stay side by side; all instances are killed, and once more shortly afterwards.
  @ParameterizedTest
  @CsvSource({"6, 10", "62, 4"})
  void streamsGoOnAfterTwoPowerLosses(int instances, int histories) {
    for (long seed = 0; seed < histories; seed++) {
      ReplacementHistory history = new ReplacementHistory(instances, seed);
      replace(history, UPSTREAMS / 2);
      history.advanceMs(20_000, STREAMS_PER_S);
      history.killAll();
      history.advanceMs(7_000, STREAMS_PER_S);
      history.killAll();
      history.advanceMs(10_000, STREAMS_PER_S);

      assertGoneOn(history, seed);
    }
  }

  // The store is slow all the time.
  @ParameterizedTest
  @CsvSource({"6, 10", "62, 4"})
  void streamsGoOnWhenTheStoreIsSlow(int instances, int histories) {
    for (long seed = 0; seed < histories; seed++) {
      ReplacementHistory history = new ReplacementHistory(instances, seed);
      history.setStoreFault(Fault.NONE, 100);
      history.advanceMs(8_000, STREAMS_PER_S);
      replace(history, UPSTREAMS / 2);
      history.killAll();
      history.advanceMs(10_000, STREAMS_PER_S);

      assertGoneOn(history, seed);
    }
  }

  // The store refuses calls, or loses its answers, until all instances have been killed. What was
  // not written is unknown, and not guessed.
  @ParameterizedTest
  @CsvSource({"6, DOWN, 10", "6, ANSWER_LOST, 10", "62, DOWN, 4"})
  void nothingIsGuessedWhenTheStoreFailed(int instances, Fault fault, int histories) {
    for (long seed = 0; seed < histories; seed++) {
      ReplacementHistory history = new ReplacementHistory(instances, seed);
      history.advanceMs(8_000, STREAMS_PER_S);
      replace(history, 3);
      history.setStoreFault(fault, 0);
      replace(history, 3);
      history.killAll();
      history.setStoreFault(Fault.NONE, 0);
      replace(history, 6);
      history.advanceMs(20_000, STREAMS_PER_S);

      assertWithMessage("streams joined from two versions, seed %s", seed)
          .that(history.joined())
          .isEqualTo(0);
    }
  }

  // Rows outlast the streams that they tell of, as a transaction cannot delete all that have
  // expired in the meantime.
  @Test
  void expiredOriginsAreDeleted() {
    ReplacementHistory history = new ReplacementHistory(6, 1);
    replace(history, UPSTREAMS / 2);
    history.advanceMs(20_000, STREAMS_PER_S);
    history.setStoreFault(Fault.DOWN, 0);
    history.advanceMs(20_000, 0);
    history.setStoreFault(Fault.NONE, 0);
    history.advanceMs(20_000, 0);

    assertThat(history.storedRowCount()).isEqualTo(0);
  }

  // As long as one version serves, nothing is written.
  @Test
  void nothingIsWrittenWhileOneVersionServes() {
    ReplacementHistory history = new ReplacementHistory(6, 1);

    history.advanceMs(20_000, STREAMS_PER_S);

    assertThat(history.tableWriteCount()).isEqualTo(0);
  }
}
