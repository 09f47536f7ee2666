package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.List;
import org.junit.jupiter.api.Test;

class RestingUpstreamsTest {

  private final ManualTimers timers = new ManualTimers();
  private final RestingUpstreams resting = new RestingUpstreams(timers);
  private final ServingUpstream upstream = startedAt(1);

  private static ServingUpstream startedAt(long startedMs) {
    return TestUpstreams.started("i-1", "konya", startedMs);
  }

  @Test
  void restLastsForTheTimeThatWasAskedFor() {
    resting.note(upstream, 3_000);

    timers.advanceMs(2_999);
    assertThat(resting.isResting(upstream)).isTrue();
    timers.advanceMs(1);
    assertThat(resting.isResting(upstream)).isFalse();
  }

  // A request that was under way is turned away later, with a shorter time.
  @Test
  void shorterRestDoesNotCutLongerOneShort() {
    resting.note(upstream, 3_000);
    timers.advanceMs(500);

    resting.note(upstream, 1_000);

    assertThat(resting.leftMs(upstream)).isEqualTo(2_500);
  }

  // The entry of the upstream lapses while the store is out of reach, and is back after it.
  @Test
  void restOutlastsAnEntryThatLapses() {
    resting.note(upstream, 3_000);

    resting.retain(UpstreamList.empty());

    assertThat(resting.isResting(upstream)).isTrue();
  }

  @Test
  void nextProcessUnderTheSameNameDoesNotRest() {
    resting.note(upstream, 3_000);

    resting.retain(new UpstreamList(List.of(startedAt(2))));

    assertThat(resting.isResting(startedAt(2))).isFalse();
    assertThat(resting.restingCount()).isEqualTo(0);
  }

  @Test
  void countsWhatAnUpstreamGetsInItsRest() {
    resting.onSent(upstream);
    resting.note(upstream, 3_000);
    resting.onSent(upstream);

    assertThat(resting.sentCount()).isEqualTo(1);
  }
}
