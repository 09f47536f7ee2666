package io.mothrill.core.forward.view;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.platform.error.PlatformException;
import org.junit.jupiter.api.Test;

// Guards against instances that drop upstreams whose registrations have only expired in an outage
// of
// the store, and against those that keep upstreams which have left.
class OutageDetectorTest {

  private static final long GRACE_MS = 2_500;
  private static final long ROUND_MS = 500;

  private final ManualTimers timers = new ManualTimers();
  private final OutageDetector outages = new OutageDetector(GRACE_MS, timers, () -> {});

  private void confirmByOthers(long forMs) {
    for (long passedMs = 0; passedMs < forMs; passedMs += ROUND_MS) {
      timers.advanceMs(ROUND_MS);
      outages.onConfirmed(timers.nowMs() - ROUND_MS, timers.nowMs());
    }
  }

  @Test
  void instanceThatTheStoreRefusesKeepsMissingUpstreams() {
    outages.onFailed(PlatformException.unreachable("store"), timers.nowMs());
    timers.advanceMs(6_000);

    assertThat(outages.isRecovering()).isTrue();
  }

  @Test
  void instanceThatTheStoreRefusesDropsThemWhileOthersReadTheList() {
    outages.onConfirmed(TableRead.UNCONFIRMED, timers.nowMs());
    confirmByOthers(GRACE_MS);
    outages.onFailed(PlatformException.unreachable("store"), timers.nowMs());
    confirmByOthers(6_000);

    assertThat(outages.isRecovering()).isFalse();
  }

  @Test
  void outageIsNoticedByAnInstanceThatDidNotReadMeanwhile() {
    outages.onConfirmed(TableRead.UNCONFIRMED, timers.nowMs());
    confirmByOthers(GRACE_MS);
    long beforeMs = timers.nowMs();
    timers.advanceMs(7_000);

    outages.onConfirmed(beforeMs, timers.nowMs());

    assertThat(outages.isRecovering()).isTrue();
  }
}
