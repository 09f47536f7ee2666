package io.mothrill.core.work;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class WorkAccountTest {

  private final WorkAccount work = new WorkAccount();

  @Test
  void keepsKindsApart() {
    // GIVEN
    work.onTurn(WorkKind.STORE, 700);
    work.onTurn(WorkKind.STORE, 300);
    work.onOpened(WorkKind.PEER);
    work.onReceived(WorkKind.PEER, 40);
    // WHEN
    WorkAccount.Entry store = work.of(WorkKind.STORE);
    WorkAccount.Entry peer = work.of(WorkKind.PEER);
    // THEN
    assertThat(store).isEqualTo(new WorkAccount.Entry(2, 1_000, 0, 0, 0));
    assertThat(peer).isEqualTo(new WorkAccount.Entry(0, 0, 1, 40, 0));
    assertThat(work.all()).containsEntry(WorkKind.STORE, store);
  }

  @Test
  void countsTasksOfTimersAlsoWhenTheyFail() {
    // GIVEN
    ManualTimers timers = new ManualTimers();
    AtomicLong nanos = new AtomicLong();
    AccountedTimers accounted = new AccountedTimers(timers, work, nanos::get);
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
    assertThat(work.of(WorkKind.TIMER).busyNanos()).isAtLeast(57);
  }

  private static void advanceThroughFailure(ManualTimers timers, long byMs) {
    try {
      timers.advanceMs(byMs);
    } catch (IllegalStateException ex) {
      assertThat(ex).hasMessageThat().isEqualTo("broken task");
    }
  }
}
