package io.mothrill.core.forward.limit;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamWord;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class NamedLimitsTest {

  private final ManualTimers timers = new ManualTimers();
  private final NamedLimits limits = new NamedLimits(timers);
  private final ServingUpstream upstream = upstream("i-1", 1);

  private static ServingUpstream upstream(String id, long startedMs) {
    return new ServingUpstream(
        id,
        "asistan",
        "10.0.0.1",
        80,
        "konya",
        16,
        false,
        OptionalLong.of(0),
        new UpstreamWord(startedMs, 1));
  }

  private void answer(long sentMs, OptionalDouble limitPerS) {
    limits.onAnswer(upstream, sentMs, limitPerS);
  }

  @Test
  void limitHoldsForAsLongAsAnswersNameIt() {
    answer(timers.nowMs(), OptionalDouble.of(1.4));
    assertThat(limits.limitedCount()).isEqualTo(1);

    timers.advanceMs(1);
    answer(timers.nowMs(), OptionalDouble.empty());

    assertThat(limits.limitedCount()).isEqualTo(0);
  }

  // Two answers overtake each other: the later one is about the time before the limit.
  @Test
  void answerToAnEarlierRequestDoesNotEndTheLimit() {
    long sentMs = timers.nowMs();
    timers.advanceMs(1);
    answer(timers.nowMs(), OptionalDouble.of(1));

    answer(sentMs, OptionalDouble.empty());

    assertThat(limits.limitedCount()).isEqualTo(1);
  }

  @Test
  void countsWhatAnUpstreamGetsSinceItNamedItsLimit() {
    limits.onSent(upstream);
    answer(timers.nowMs(), OptionalDouble.of(1));

    limits.onSent(upstream);
    limits.onSent(upstream);

    assertThat(limits.sentCount()).isEqualTo(2);
  }

  @Test
  void limitEndsWithTheProcessThatNamedIt() {
    answer(timers.nowMs(), OptionalDouble.of(1));

    limits.retain(new UpstreamList(List.of(upstream("i-1", 2))));

    assertThat(limits.limitedCount()).isEqualTo(0);
  }
}
