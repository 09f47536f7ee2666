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

  private final SpendingSimulation world = new SpendingSimulation(70_000_000, 11);

  private List<SpendingSimulation.SimulatedInstance> startAll() {
    List<SpendingSimulation.SimulatedInstance> members =
        IntStream.range(0, INSTANCES)
            .mapToObj(
                number -> {
                  world.timers.advanceMs(START_SPREAD_MS / INSTANCES);
                  return world.start("konya-" + number);
                })
            .toList();
    world.timers.advanceMs(SETTLED_MS);
    return members;
  }

  /** Reserves a thousand tokens per second at each instance, at different times. */
  private void spendOneSecond(List<SpendingSimulation.SimulatedInstance> members) {
    for (SpendingSimulation.SimulatedInstance member : members) {
      world.timers.advanceMs(1_000 / INSTANCES);
      member.tryReserve(TOKENS);
    }
  }

  // Guards against full reads with each renewal: they would read 70 rows each and use most of the
  // network capacity of small instances.
  @Test
  void renewalReadsFewRowsOfOthers() {
    List<SpendingSimulation.SimulatedInstance> members = startAll();
    long before = world.rowsRead();

    for (int second = 0; second < MEASURED_S; second++) {
      spendOneSecond(members);
    }

    long rowsPerInstanceAndSecond = (world.rowsRead() - before) / (INSTANCES * MEASURED_S);
    assertThat(rowsPerInstanceAndSecond).isAtMost(15);
  }

  // Guards against write conflicts: all instances follow the shares of a budget that is being
  // spent. If all of them changed the team's row each second, most of their writes would conflict.
  @Test
  void fewWritesMeetConflicts() {
    List<SpendingSimulation.SimulatedInstance> members = startAll();
    long writesBefore = world.writeCount();
    long conflictsBefore = world.conflictCount();

    for (int second = 0; second < MEASURED_S; second++) {
      spendOneSecond(members);
    }

    long writes = world.writeCount() - writesBefore;
    long conflicts = world.conflictCount() - conflictsBefore;
    assertThat(conflicts).isAtMost(writes / 5);
  }

  // Guards against requests that wait for a rebalancing, which each instance does once in six
  // seconds: a request needs more than its instance holds, and the table has enough.
  @Test
  void requestLargerThanTheHoldingIsServedAtOnce() {
    List<SpendingSimulation.SimulatedInstance> members = startAll();
    long before = world.spentTokens();

    for (SpendingSimulation.SimulatedInstance member : members.subList(0, LARGE_REQUESTS)) {
      member.tryReserve(LARGE_TOKENS);
      world.timers.advanceMs(300);
    }
    world.timers.advanceMs(1_000);

    assertThat(world.spentTokens()).isEqualTo(before + LARGE_REQUESTS * LARGE_TOKENS);
  }

  @Test
  void everyInstanceIsServed() {
    List<SpendingSimulation.SimulatedInstance> members = startAll();

    for (int second = 0; second < MEASURED_S; second++) {
      spendOneSecond(members);
    }
    world.timers.advanceMs(1_000);

    assertThat(world.spentTokens()).isAtLeast(INSTANCES * MEASURED_S * TOKENS * 98 / 100);
    assertThat(world.spentTokens()).isAtMost(world.prepaidTokens());
  }
}
