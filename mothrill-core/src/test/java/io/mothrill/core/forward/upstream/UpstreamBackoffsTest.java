package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamBackoffsTest {

  private final ManualTimers timers = new ManualTimers();
  private final UpstreamBackoffs resting = new UpstreamBackoffs(timers);
  private final RegisteredUpstream upstream = startedAt(1);

  private static RegisteredUpstream startedAt(long startedMs) {
    return TestUpstreams.started("i-1", "konya", startedMs);
  }

  @Test
  void restLastsForTheTimeThatWasAskedFor() {
    resting.onBackoffRequested(upstream, 3_000);

    timers.advanceMs(2_999);
    assertThat(resting.isBackingOff(upstream)).isTrue();
    timers.advanceMs(1);
    assertThat(resting.isBackingOff(upstream)).isFalse();
  }

  // A request that was in flight is rejected later, with a shorter backoff.
  @Test
  void shorterRestDoesNotCutLongerOneShort() {
    resting.onBackoffRequested(upstream, 3_000);
    timers.advanceMs(500);

    resting.onBackoffRequested(upstream, 1_000);

    assertThat(resting.remainingMs(upstream)).isEqualTo(2_500);
  }

  // The entry of the upstream expires while the store is unreachable, and returns afterwards.
  @Test
  void restOutlastsAnEntryThatLapses() {
    resting.onBackoffRequested(upstream, 3_000);

    resting.retain(UpstreamList.empty());

    assertThat(resting.isBackingOff(upstream)).isTrue();
  }

  @Test
  void nextProcessUnderTheSameNameDoesNotRest() {
    resting.onBackoffRequested(upstream, 3_000);

    resting.retain(new UpstreamList(List.of(startedAt(2))));

    assertThat(resting.isBackingOff(startedAt(2))).isFalse();
    assertThat(resting.backoffCount()).isEqualTo(0);
  }

  @Test
  void countsWhatAnUpstreamGetsInItsRest() {
    resting.onSent(upstream);
    resting.onBackoffRequested(upstream, 3_000);
    resting.onSent(upstream);

    assertThat(resting.sentCount()).isEqualTo(1);
  }
}
