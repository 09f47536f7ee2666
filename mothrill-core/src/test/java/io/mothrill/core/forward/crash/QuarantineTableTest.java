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
  private static final long DELIVERED_MS = 3_000;

  private final CrashSimulation simulation = new CrashSimulation(INSTANCES, 0, 1);

  private void crashThreeUpstreams() {
    simulation.timers.advanceMs(2_000);
    IntStream.range(0, 3).forEach(upstream -> simulation.crash(upstream, upstream));
    simulation.timers.advanceMs(DELIVERED_MS);
  }

  private void replaceAll() {
    IntStream.range(0, INSTANCES).mapToObj(CrashSimulation::instance).forEach(simulation::start);
  }

  @Test
  void newProcessesReadTheQuarantine() {
    crashThreeUpstreams();
    replaceAll();

    simulation.timers.advanceMs(100);

    assertThat(simulation.quarantiningCount()).isEqualTo(INSTANCES);
  }

  // The store is unreachable when the third upstream crashes, and reachable again before the power
  // loss.
  @Test
  void writesOnceTheStoreIsReachable() {
    simulation.timers.advanceMs(2_000);
    simulation.table.faults().setFault(Fault.DOWN);
    crashThreeUpstreams();
    simulation.table.faults().setFault(Fault.NONE);
    simulation.timers.advanceMs(1_000);
    replaceAll();

    simulation.timers.advanceMs(100);

    assertThat(simulation.quarantiningCount()).isEqualTo(INSTANCES);
  }

  // The store is unreachable when the processes start; they read the table once it is reachable.
  @Test
  void readsOnceTheStoreIsReachable() {
    crashThreeUpstreams();
    simulation.table.faults().setFault(Fault.DOWN);
    replaceAll();
    simulation.timers.advanceMs(2_000);
    assertThat(simulation.quarantiningCount()).isEqualTo(0);

    simulation.table.faults().setFault(Fault.NONE);
    simulation.timers.advanceMs(1_000);

    assertThat(simulation.quarantiningCount()).isEqualTo(INSTANCES);
  }

  // Another program has written its own rows before and after the valid one.
  @Test
  void ignoresRowsOfOtherPrograms() {
    crashThreeUpstreams();
    for (String key : List.of("0", "zz")) {
      Row absent = Row.absent(new RowKey(QuarantineTable.TABLE, key));
      Cells foreign = Cells.empty().with("high", "no number").with("incarnation-0", 7);
      assertThat(simulation.table.write(Transaction.on(absent, foreign)).join()).isTrue();
    }
    replaceAll();

    simulation.timers.advanceMs(100);

    assertThat(simulation.quarantiningCount()).isEqualTo(INSTANCES);
  }

  @Test
  void successfulRunDeletesTheRow() {
    crashThreeUpstreams();
    simulation.guard(4).onSuccess(CrashSimulation.REQUEST);
    simulation.timers.advanceMs(1_000);
    replaceAll();

    simulation.timers.advanceMs(1_000);

    assertThat(simulation.quarantiningCount()).isEqualTo(0);
  }

  @Test
  void nextProcessDeletesOldRow() {
    crashThreeUpstreams();
    simulation.timers.advanceMs(3 * CrashRecord.QUARANTINE_MS);
    replaceAll();
    simulation.timers.advanceMs(1_000);

    assertThat(simulation.quarantiningCount()).isEqualTo(0);
    assertThat(simulation.table.scan(QuarantineTable.TABLE, "", "", 10).join()).isEmpty();
  }
}
