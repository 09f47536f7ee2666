package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamBackoffsTest {

  private final ManualTimers timers = new ManualTimers();
  private final UpstreamBackoffs backoffs = new UpstreamBackoffs(timers);
  private final RegisteredUpstream upstream = startedAt(1);

  private static RegisteredUpstream startedAt(long startedMs) {
    return TestUpstreams.started("i-1", "konya", startedMs);
  }

  @Test
  void backoffLastsForTheRequestedTime() {
    backoffs.onBackoffRequested(upstream, 3_000);

    timers.advanceMs(2_999);
    assertThat(backoffs.isBackingOff(upstream)).isTrue();
    timers.advanceMs(1);
    assertThat(backoffs.isBackingOff(upstream)).isFalse();
  }

  // A request that was in flight is rejected later, with a shorter backoff.
  @Test
  void shorterBackoffDoesNotReplaceLongerOne() {
    backoffs.onBackoffRequested(upstream, 3_000);
    timers.advanceMs(500);

    backoffs.onBackoffRequested(upstream, 1_000);

    assertThat(backoffs.remainingMs(upstream)).isEqualTo(2_500);
  }

  // The entry of the upstream expires while the store is unreachable, and returns afterwards.
  @Test
  void backoffOutlastsExpiredEntry() {
    backoffs.onBackoffRequested(upstream, 3_000);

    backoffs.retain(UpstreamList.empty());

    assertThat(backoffs.isBackingOff(upstream)).isTrue();
  }

  @Test
  void nextProcessUnderTheSameIdHasNoBackoff() {
    backoffs.onBackoffRequested(upstream, 3_000);

    backoffs.retain(new UpstreamList(List.of(startedAt(2))));

    assertThat(backoffs.isBackingOff(startedAt(2))).isFalse();
    assertThat(backoffs.backoffCount()).isEqualTo(0);
  }

  @Test
  void countsRequestsSentDuringTheBackoff() {
    backoffs.onSent(upstream);
    backoffs.onBackoffRequested(upstream, 3_000);
    backoffs.onSent(upstream);

    assertThat(backoffs.sentCount()).isEqualTo(1);
  }
}
