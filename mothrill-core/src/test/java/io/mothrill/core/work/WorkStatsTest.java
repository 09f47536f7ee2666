package io.mothrill.core.work;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class WorkStatsTest {

  private final WorkStats work = new WorkStats();

  @Test
  void separatesKinds() {
    // GIVEN
    work.onTurn(WorkKind.STORE, 700);
    work.onTurn(WorkKind.STORE, 300);
    work.onOpened(WorkKind.PEER);
    work.onReceived(WorkKind.PEER, 40);
    // WHEN
    WorkStats.Totals store = work.totals(WorkKind.STORE);
    WorkStats.Totals peer = work.totals(WorkKind.PEER);
    // THEN
    assertThat(store).isEqualTo(new WorkStats.Totals(2, 1_000, 0, 0, 0));
    assertThat(peer).isEqualTo(new WorkStats.Totals(0, 0, 1, 40, 0));
    assertThat(work.all()).containsEntry(WorkKind.STORE, store);
  }

  @Test
  void measuresFailingTimerTasks() {
    // GIVEN
    ManualTimers timers = new ManualTimers();
    AtomicLong nanos = new AtomicLong();
    MeteredTimers accounted = new MeteredTimers(timers, work, nanos::get);
    accounted.every(100, () -> nanos.addAndGet(50));
    accounted.after(
        150,
        () -> {
          nanos.addAndGet(7);
          throw new IllegalStateException("broken task");
        });
    // WHEN
    advanceThroughFailure(timers, 200);
    // THEN
    assertThat(work.totals(WorkKind.TIMER).busyNanos()).isAtLeast(57);
  }

  private static void advanceThroughFailure(ManualTimers timers, long byMs) {
    try {
      timers.advanceMs(byMs);
    } catch (IllegalStateException ex) {
      assertThat(ex).hasMessageThat().isEqualTo("broken task");
    }
  }
}
