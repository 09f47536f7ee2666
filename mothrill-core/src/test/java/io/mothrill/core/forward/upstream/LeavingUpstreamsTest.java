package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeavingUpstreamsTest {

  private final ManualTimers timers = new ManualTimers();
  private final LeavingUpstreams leaving = new LeavingUpstreams(timers);

  private static RegisteredUpstream startedAt(long startedMs) {
    return TestUpstreams.started("i-1", "konya", startedMs);
  }

  // Its entry expires while the store is unreachable, and returns as ready before the leaving state
  // is written.
  @Test
  void announcementOutlastsExpiredEntry() {
    leaving.markLeaving(startedAt(1));

    timers.advanceMs(12_000);
    leaving.retain(UpstreamList.empty());
    leaving.retain(new UpstreamList(List.of(startedAt(1))));

    assertThat(leaving.isLeaving(startedAt(1))).isTrue();
  }

  @Test
  void nextProcessUnderTheSameIdAcceptsRequests() {
    leaving.markLeaving(startedAt(1));

    assertThat(leaving.isLeaving(startedAt(2))).isFalse();
  }

  @Test
  void unregisteredUpstreamsAreRemoved() {
    leaving.markLeaving(startedAt(1));

    timers.advanceMs(600_001);
    leaving.retain(UpstreamList.empty());

    assertThat(leaving.leavingCount()).isEqualTo(0);
  }

  @Test
  void countsRequestsSentAfterTheAnnouncement() {
    leaving.onSent(startedAt(1));
    leaving.markLeaving(startedAt(1));
    leaving.onSent(startedAt(1));

    assertThat(leaving.sentCount()).isEqualTo(1);
  }
}
