package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Seventy instances use one budget: the load on the table must grow linearly with their number, not
 * quadratically.
 */
class SpendingOfManyInstancesTest {

  private static final int INSTANCES = 70;

  /** All instances start within this time, like a whole fleet. */
  private static final int START_SPREAD_MS = 300;

  private static final long SETTLED_MS = 15_000;
  private static final long MEASURED_S = 20;
  private static final long TOKENS = 1_000;

  /**
   * The unassigned tokens cover this many large requests, even as instances take new shares
   * afterwards.
   */
  private static final int LARGE_REQUESTS = 4;

  /** Slightly more than an instance holds, which is 92% of an equal share of a million tokens. */
  private static final long LARGE_TOKENS = 1_000_000;

  private final SpendingSimulation simulation = new SpendingSimulation(70_000_000, 11);

  private List<SpendingSimulation.SimulatedInstance> startAll() {
    List<SpendingSimulation.SimulatedInstance> instances =
        IntStream.range(0, INSTANCES)
            .mapToObj(
                number -> {
                  simulation.timers.advanceMs(START_SPREAD_MS / INSTANCES);
                  return simulation.start("konya-" + number);
                })
            .toList();
    simulation.timers.advanceMs(SETTLED_MS);
    return instances;
  }

  /** Reserves a thousand tokens per second at each instance, at different times. */
  private void spendOneSecond(List<SpendingSimulation.SimulatedInstance> instances) {
    for (SpendingSimulation.SimulatedInstance instance : instances) {
      simulation.timers.advanceMs(1_000 / INSTANCES);
      instance.tryReserve(TOKENS);
    }
  }

  // Guards against full reads with each renewal: they would read 70 rows each and use most of the
  // network capacity of small instances.
  @Test
  void renewalReadsFewPeerRows() {
    List<SpendingSimulation.SimulatedInstance> instances = startAll();
    long before = simulation.rowsRead();

    for (int second = 0; second < MEASURED_S; second++) {
      spendOneSecond(instances);
    }

    long rowsPerInstanceAndSecond = (simulation.rowsRead() - before) / (INSTANCES * MEASURED_S);
    assertThat(rowsPerInstanceAndSecond).isAtMost(15);
  }

  // Guards against write conflicts: all instances follow the shares of a budget that is being
  // spent. If all of them changed the team's row each second, most of their writes would conflict.
  @Test
  void fewWritesMeetConflicts() {
    List<SpendingSimulation.SimulatedInstance> instances = startAll();
    long writesBefore = simulation.writeCount();
    long conflictsBefore = simulation.conflictCount();

    for (int second = 0; second < MEASURED_S; second++) {
      spendOneSecond(instances);
    }

    long writes = simulation.writeCount() - writesBefore;
    long conflicts = simulation.conflictCount() - conflictsBefore;
    assertThat(conflicts).isAtMost(writes / 5);
  }

  // Guards against requests that wait for a rebalancing, which each instance does once in six
  // seconds: a request needs more than its instance holds, and the table has enough.
  @Test
  void requestLargerThanTheHeldTokensIsServedImmediately() {
    List<SpendingSimulation.SimulatedInstance> instances = startAll();
    long before = simulation.spentTokens();

    for (SpendingSimulation.SimulatedInstance instance : instances.subList(0, LARGE_REQUESTS)) {
      instance.tryReserve(LARGE_TOKENS);
      simulation.timers.advanceMs(300);
    }
    simulation.timers.advanceMs(1_000);

    assertThat(simulation.spentTokens()).isEqualTo(before + LARGE_REQUESTS * LARGE_TOKENS);
  }

  @Test
  void everyInstanceIsServed() {
    List<SpendingSimulation.SimulatedInstance> instances = startAll();

    for (int second = 0; second < MEASURED_S; second++) {
      spendOneSecond(instances);
    }
    simulation.timers.advanceMs(1_000);

    assertThat(simulation.spentTokens()).isAtLeast(INSTANCES * MEASURED_S * TOKENS * 98 / 100);
    assertThat(simulation.spentTokens()).isAtMost(simulation.prepaidTokens());
  }
}
