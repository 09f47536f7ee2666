package io.mothrill.core.forward.buffer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the number of readers that do not read. */
class BufferBudgetTest {

  private static final int KB = 1 << 10;
  private static final int MB = 1 << 20;

  private final ManualTimers timers = new ManualTimers();
  private final BufferBudget budget = new BufferBudget(MB, 16 * MB, timers);
  private final AtomicInteger aborts = new AtomicInteger();

  private SourcePause pauseWith(long heldBytes) {
    ConnectionBuffer buffer = budget.newBuffer();
    buffer.add(heldBytes);
    SourcePause pause =
        budget.newPause(
            buffer,
            Runnable::run,
            () -> {
              buffer.remove(buffer.heldBytes());
              aborts.incrementAndGet();
            });
    pause.start();
    return pause;
  }

  @Test
  void connectionMayHoldOneMegabyteWhileMemoryIsFree() {
    ConnectionBuffer buffer = budget.newBuffer();

    buffer.add(MB - 1);
    assertThat(buffer.isFull()).isFalse();

    buffer.add(1);
    assertThat(buffer.isFull()).isTrue();
    assertThat(buffer.isDrained()).isFalse();

    buffer.remove(MB / 2);
    assertThat(buffer.isDrained()).isTrue();
  }

  @Test
  void connectionMayHoldAnEighthOfSmallTotal() {
    assertThat(new BufferBudget(MB, 4 * MB, timers).maxConnectionBytes()).isEqualTo(512 * KB);
  }

  @Test
  void limitOfConnectionShrinksAsMemoryFillsUp() {
    budget.newBuffer().add(15 * MB);

    assertThat(budget.connectionLimitBytes()).isEqualTo(128 * KB);
  }

  // A reader that keeps up must be served even if others hold all of the memory.
  @Test
  void connectionThatHoldsNothingIsNeverFull() {
    budget.newBuffer().add(17 * MB);

    assertThat(budget.newBuffer().isFull()).isFalse();
  }

  @Test
  void readsAreNoLongerThanWhatFits() {
    ConnectionBuffer buffer = budget.newBuffer();
    assertThat(buffer.maxReadBytes(64 * KB)).isEqualTo(64 * KB);

    buffer.add(60 * KB);
    assertThat(buffer.maxReadBytes(64 * KB)).isEqualTo(4 * KB);

    budget.newBuffer().add(16 * MB);
    assertThat(buffer.maxReadBytes(64 * KB)).isEqualTo(2 * KB);
  }

  @Test
  void pausedSourceIsAbortedAfterFiveSeconds() {
    pauseWith(64 * KB);

    timers.advanceMs(BufferBudget.MAX_PAUSE_MS - 1);
    assertThat(aborts.get()).isEqualTo(0);

    timers.advanceMs(100);
    assertThat(aborts.get()).isEqualTo(1);
    assertThat(budget.pausedCount()).isEqualTo(0);
    assertThat(budget.abortedCount()).isEqualTo(1);
  }

  // The oldest pauses end first, and only as many as are needed for the others.
  @Test
  void pausedSourcesAreAbortedEarlierWhileOthersNeedTheMemory() {
    for (int source = 0; source < 4; source++) {
      pauseWith(3 * MB + 256 * KB);
      timers.advanceMs(10);
    }

    timers.advanceMs(BufferBudget.SCARCE_PAUSE_MS + 100);

    assertThat(aborts.get()).isEqualTo(2);
    assertThat(budget.heldBytes()).isEqualTo(2 * (3 * MB + 256 * KB));
  }

  @Test
  void sourceThatResumesInTimeIsNotAborted() {
    SourcePause pause = pauseWith(64 * KB);

    timers.advanceMs(4_000);
    pause.end();
    pause.start();
    timers.advanceMs(4_000);

    assertThat(aborts.get()).isEqualTo(0);
  }

  @Test
  void sourceThatResumesBeforeItsExecutorRunsTheAbortIsNotAborted() {
    AtomicInteger tasks = new AtomicInteger();
    SourcePause[] pause = new SourcePause[1];
    pause[0] =
        budget.newPause(
            budget.newBuffer(),
            task -> {
              tasks.incrementAndGet();
              pause[0].end();
              task.run();
            },
            aborts::incrementAndGet);
    pause[0].start();

    timers.advanceMs(BufferBudget.MAX_PAUSE_MS + 100);

    assertThat(tasks.get()).isEqualTo(1);
    assertThat(aborts.get()).isEqualTo(0);
  }

  @Test
  void bodiesHaveLimitOfTheirOwn() {
    assertThat(budget.tryReserveBody(MB)).isTrue();
    assertThat(budget.tryReserveBody(1)).isFalse();
    budget.releaseBody(MB);
    assertThat(budget.bodyBytes()).isEqualTo(0);
    assertThat(budget.tryReserveBody(1)).isTrue();
  }

  @Test
  void bodiesAreRejectedOnceTheMemoryForResponsesIsUsedUp() {
    budget.newBuffer().add(16 * MB);

    assertThat(budget.tryReserveBody(1)).isFalse();
    assertThat(budget.bodyBytes()).isEqualTo(0);
  }
}
