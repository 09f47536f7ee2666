package io.mothrill.core.forward.prompt;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PrefillTimeModelTest {

  private final PrefillTimeModel model = new PrefillTimeModel();

  private void observe(int count, long tokens, double tookMs) {
    IntStream.range(0, count).forEach(i -> model.onFirstEvent("asistan", tokens, tookMs));
  }

  private double prefillMs(long tokens) {
    return model.prefillMs("asistan", tokens);
  }

  // Guards against one speed for all lengths, and against an instance that needs many prompts to
  // learn: it sends few of each length.
  @Test
  void startsAtFortyTokensPerMsAndLearnsEachLengthFromFewPrompts() {
    // GIVEN
    assertThat(prefillMs(12_000)).isWithin(0.1).of(300);

    // WHEN
    observe(10, 4_096, 53);
    observe(10, 54_000, 1_460);

    // THEN
    assertThat(prefillMs(4_096)).isWithin(3).of(53);
    assertThat(prefillMs(54_000)).isWithin(60).of(1_460);
    assertThat(model.prefillMs("other", 4_096)).isWithin(0.1).of(102.4);
  }

  // Guards against taking the wait behind other prompts for prefill time.
  @Test
  void waitsOfHalfOfThePromptsHardlyCount() {
    // WHEN
    IntStream.range(0, 400).forEach(i -> observe(1, 8_192, i % 2 == 0 ? 115 : 150 + i));

    // THEN
    assertThat(prefillMs(8_192)).isWithin(25).of(115);
  }

  // Guards against short prompts being taken for long ones because the first event takes 11 steps:
  // others at the engine are not delayed by that.
  @Test
  void constantPartOfTheTimeIsNotPrefill() {
    // WHEN
    for (int round = 0; round < 60; round++) {
      for (long tokens : new long[] {700, 900, 1_500, 2_368, 9_000, 12_000}) {
        observe(1, tokens, 35 + tokens / 85.0);
      }
    }

    // THEN
    assertThat(prefillMs(826)).isWithin(4).of(9.7);
    assertThat(prefillMs(2_368)).isWithin(6).of(27.9);
    assertThat(prefillMs(12_000)).isWithin(25).of(141);
    assertThat(model.firstEventMs("asistan", 2_368)).isWithin(6).of(62.9);
  }

  @Test
  void moreTokensNeverTakeLessTime() {
    // WHEN
    observe(20, 2_048, 900);
    observe(20, 16_384, 100);

    // THEN
    IntStream.range(0, 80)
        .forEach(i -> assertThat(prefillMs(i * 1_000)).isAtMost(prefillMs((i + 1) * 1_000)));
  }
}
