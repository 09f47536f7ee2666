package io.mothrill.core.forward.crash;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.Fault;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.Transaction;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against losing the quarantine when all instances lose power at once: a request that was
// refused everywhere would crash upstreams again after the restart. New processes read it from the
// table.
class QuarantineTableTest {

  private static final int INSTANCES = 8;

  /** After this time no message about the crashes is in transit. */
  private static final long TOLD_MS = 3_000;

  private final CrashSimulation world = new CrashSimulation(INSTANCES, 0, 1);

  private void crashThree() {
    world.timers.advanceMs(2_000);
    IntStream.range(0, 3).forEach(upstream -> world.crash(upstream, upstream));
    world.timers.advanceMs(TOLD_MS);
  }

  private void replaceAll() {
    IntStream.range(0, INSTANCES).mapToObj(CrashSimulation::instance).forEach(world::start);
  }

  @Test
  void newProcessesKnowWhatWasRefused() {
    crashThree();
    replaceAll();

    world.timers.advanceMs(100);

    assertThat(world.refusingCount()).isEqualTo(INSTANCES);
  }

  // The store is unreachable when the third upstream crashes, and reachable again before the power
  // loss.
  @Test
  void writesOnceTheStoreIsBack() {
    world.timers.advanceMs(2_000);
    world.table.faults().setFault(Fault.DOWN);
    crashThree();
    world.table.faults().setFault(Fault.NONE);
    world.timers.advanceMs(1_000);
    replaceAll();

    world.timers.advanceMs(100);

    assertThat(world.refusingCount()).isEqualTo(INSTANCES);
  }

  // The store is unreachable when the processes start; they read the table once it is reachable.
  @Test
  void readsOnceTheStoreIsBack() {
    crashThree();
    world.table.faults().setFault(Fault.DOWN);
    replaceAll();
    world.timers.advanceMs(2_000);
    assertThat(world.refusingCount()).isEqualTo(0);

    world.table.faults().setFault(Fault.NONE);
    world.timers.advanceMs(1_000);

    assertThat(world.refusingCount()).isEqualTo(INSTANCES);
  }

  // Another program has written its own rows before and after the valid one.
  @Test
  void rowsOfOtherProgramsArePassedOver() {
    crashThree();
    for (String key : List.of("0", "zz")) {
      Row absent = Row.absent(new RowKey(QuarantineTable.TABLE, key));
      Cells foreign = Cells.empty().with("high", "no number").with("incarnation-0", 7);
      assertThat(world.table.write(Transaction.on(absent, foreign)).join()).isTrue();
    }
    replaceAll();

    world.timers.advanceMs(100);

    assertThat(world.refusingCount()).isEqualTo(INSTANCES);
  }

  @Test
  void goodRunTakesTheRowAway() {
    crashThree();
    world.guard(4).onSuccess(CrashSimulation.REQUEST);
    world.timers.advanceMs(1_000);
    replaceAll();

    world.timers.advanceMs(1_000);

    assertThat(world.refusingCount()).isEqualTo(0);
  }

  @Test
  void oldRowIsTakenAwayByTheNextProcess() {
    crashThree();
    world.timers.advanceMs(3 * CrashRecord.QUARANTINE_MS);
    replaceAll();
    world.timers.advanceMs(1_000);

    assertThat(world.refusingCount()).isEqualTo(0);
    assertThat(world.table.scan(QuarantineTable.TABLE, "", "", 10).join()).isEmpty();
  }
}
