package io.mothrill.core.forward.buffer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Answers the load of 200 callers that read nothing beside 20 that read, at an instance with 258
 * MB.
 *
 * <p>Each caller asks for one response after the other. Upstreams deliver them as fast as they are
 * read, in reads of up to 64 KB and no longer than the budget allows.
 */
class SlowReadersLoadTest {

  private static final long MAX_HELD_BYTES = (258L << 20) / 16;
  private static final int HIGH_WATER_MARK_BYTES = 64 << 10;
  private static final long RESPONSE_BYTES = 2 << 20;
  private static final int STEP_MS = 10;
  private static final int DURATION_MS = 20_000;
  private static final int IDLE_CALLERS = 200;
  private static final int READING_CALLERS = 20;

  /** What a reading caller takes per step: a twentieth of a link of 60 Mbit/s. */
  private static final int TAKEN_BYTES = 60_000_000 / 8 / 20 / (1_000 / STEP_MS);

  private final ManualTimers timers = new ManualTimers();
  private final BufferBudget budget = new BufferBudget(1 << 20, MAX_HELD_BYTES, timers);

  /** A caller with its stream, paused by the same rules as in the program. */
  private final class Caller {
    private final int takenBytes;
    private final ConnectionBuffer unsent = budget.newBuffer();
    private final SourcePause pause = budget.newPause(unsent, Runnable::run, this::onAbort);
    private long deliveredBytes;
    private int servedCount;
    private int abortedCount;

    Caller(int takenBytes) {
      this.takenBytes = takenBytes;
    }

    void step() {
      unsent.remove(Math.min(takenBytes, unsent.heldBytes()));
      if (unsent.isDrained() && unsent.heldBytes() <= HIGH_WATER_MARK_BYTES / 2) {
        pause.end();
      }
      while (!pause.isActive() && deliveredBytes < RESPONSE_BYTES) {
        int readBytes = unsent.maxReadBytes(HIGH_WATER_MARK_BYTES);
        unsent.add(readBytes);
        deliveredBytes += readBytes;
        if (unsent.isFull() || unsent.heldBytes() >= HIGH_WATER_MARK_BYTES) {
          pause.start();
        }
      }
      if (deliveredBytes >= RESPONSE_BYTES && unsent.heldBytes() == 0) {
        servedCount++;
        deliveredBytes = 0;
      }
    }

    private void onAbort() {
      unsent.remove(unsent.heldBytes());
      abortedCount++;
      deliveredBytes = 0;
    }
  }

  private List<Caller> callers(int count, int takenBytes) {
    return IntStream.range(0, count).mapToObj(number -> new Caller(takenBytes)).toList();
  }

  @Test
  void memoryStaysBoundedAndReadersAreServedBesideCallersThatReadNothing() {
    // GIVEN
    List<Caller> idle = callers(IDLE_CALLERS, 0);
    List<Caller> reading = callers(READING_CALLERS, TAKEN_BYTES);
    List<Caller> all = new ArrayList<>(idle);
    all.addAll(reading);
    long highestBytes = 0;
    // WHEN
    for (int ms = 0; ms < DURATION_MS; ms += STEP_MS) {
      for (Caller caller : all) {
        caller.step();
        highestBytes = Math.max(highestBytes, budget.heldBytes());
      }
      timers.advanceMs(STEP_MS);
    }
    // THEN
    assertThat(highestBytes).isAtMost(MAX_HELD_BYTES);
    assertThat(reading.stream().mapToInt(caller -> caller.abortedCount).sum()).isEqualTo(0);
    int possibleCount = (int) ((long) TAKEN_BYTES * DURATION_MS / STEP_MS / RESPONSE_BYTES);
    reading.forEach(caller -> assertThat(caller.servedCount).isAtLeast(possibleCount - 1));
    idle.forEach(caller -> assertThat(caller.abortedCount).isAtLeast(3));
  }
}
