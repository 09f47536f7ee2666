package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SpendingControllerTest {

  private static final long SETTLED_MS = 6_000;

  private final SpendingSimulation simulation = new SpendingSimulation(120_000, 7);
  private final SpendingSimulation.SimulatedInstance first = simulation.start("ankara-1");
  private final SpendingSimulation.SimulatedInstance second = simulation.start("konya-1");

  private static int reserveAll(SpendingSimulation.SimulatedInstance instance, long tokens) {
    int granted = 0;
    while (instance.tryReserve(tokens)) {
      granted++;
    }
    return granted;
  }

  @Test
  void instancesCountEachOther() {
    simulation.timers.advanceMs(SETTLED_MS);

    assertThat(first.spending.instanceCount()).isEqualTo(2);
    assertThat(first.spending.peers().stream().map(other -> other.id()).toList())
        .containsExactly("konya-1");
  }

  @Test
  void refusesBeforeTheTableWasRead() {
    first.tableUnreachable = true;

    assertThat(first.tryReserve(100)).isFalse();
    simulation.timers.advanceMs(2_000);

    assertThat(first.lastRefusal).contains("no row yet");
    assertThat(simulation.spentTokens()).isEqualTo(0);
  }

  // Both instances lose the table for ten seconds. Requests are still served from held tokens,
  // which the bound releases step by step.
  @Test
  void keepsSpendingDuringLongStoreOutage() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tableUnreachable = true;
    int granted = 0;
    for (int second = 0; second < 20; second++) {
      simulation.timers.advanceMs(500);
      granted += first.tryReserve(1_000) ? 1 : 0;
    }
    assertThat(granted).isAtLeast(15);
  }

  // The process crashes one second after its last renewal. Its successor on the same machine counts
  // what may have been spent, and the rest of the held tokens is available again.
  @Test
  void crashLosesOnlyImmediateTokens() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tryReserve(1_000);
    simulation.timers.advanceMs(1_500);
    assertThat(simulation.spentTokens()).isEqualTo(1_000);
    first.kill();
    simulation.timers.advanceMs(700);

    simulation.start("ankara-1");
    simulation.timers.advanceMs(SETTLED_MS);

    long remainingTokens =
        simulation.prepaidTokens() - tableSnapshot().spentTokens(SpendingSimulation.TEAM);
    assertThat(remainingTokens).isAtLeast(110_000);
  }

  private SpendingTable.Snapshot tableSnapshot() {
    var rows = simulation.table.scan(SpendingTable.TABLE, "", "", SpendingTable.MAX_ROWS).join();
    return SpendingTable.Snapshot.of(rows, 0);
  }

  // Guards against counting tokens that were released after the crash: the successor starts soon
  // but reaches the table only after seconds. The previous process cannot have spent what would
  // have been released since then, so the team loses none of it.
  @Test
  void crashLosesNothingReleasedAfterTheSuccessorStarted() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tryReserve(1_000);
    simulation.timers.advanceMs(1_500);
    first.kill();
    simulation.timers.advanceMs(500);

    SpendingSimulation.SimulatedInstance successor = simulation.start("ankara-1");
    successor.tableUnreachable = true;
    simulation.timers.advanceMs(9_000);
    successor.tableUnreachable = false;
    simulation.timers.advanceMs(SETTLED_MS);

    long remainingTokens =
        simulation.prepaidTokens() - tableSnapshot().spentTokens(SpendingSimulation.TEAM);
    assertThat(remainingTokens).isAtLeast(110_000);
  }

  // Guards against refusing requests right after a start: the table answers only after half a
  // second, and a refused caller would retry a second later. A request that arrives meanwhile waits
  // for the first row.
  @Test
  void requestThatComesBeforeTheFirstRowWaitsForIt() {
    simulation.timers.advanceMs(SETTLED_MS);
    SpendingSimulation.SimulatedInstance starting = simulation.start("kayseri-1");
    starting.tableUnreachable = true;
    starting.tryReserve(500);
    simulation.timers.advanceMs(450);
    starting.tableUnreachable = false;

    simulation.timers.advanceMs(600);

    assertThat(simulation.spentTokens()).isEqualTo(500);
  }

  // Guards against missing a short recovery: the table is unreachable for seconds and back for less
  // than one. The row must be renewed in that time, or a crash in the next outage loses all tokens
  // released since the first one.
  @Test
  void renewsWithinHalfSecondWhenTheTableIsReachableAgain() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tableUnreachable = true;
    simulation.timers.advanceMs(5_050);
    first.tableUnreachable = false;
    simulation.timers.advanceMs(500);

    assertThat(first.spending.renewalAgeMs()).isAtMost(500);
  }

  // One instance has spent all its tokens when the table becomes unreachable, and the other holds
  // enough. The request is served from a loan instead of being refused.
  @Test
  void borrowsFromAnotherInstanceWhileTheTableIsUnreachable() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tableUnreachable = true;
    second.tableUnreachable = true;
    simulation.timers.advanceMs(20_000);
    reserveAll(first, 5_000);
    long before = simulation.spentTokens();

    first.tryReserve(5_000);
    simulation.timers.advanceMs(1_000);

    assertThat(simulation.spentTokens()).isAtLeast(before + 5_000);
    assertThat(simulation.spentTokens()).isAtMost(simulation.prepaidTokens());
  }

  // Guards against refusals shortly before tokens are released: all instances have just lost the
  // table and none can lend, but the bound releases enough within half a second, less than the
  // delay of a retry.
  @Test
  void waitsForTokensReleasedSoon() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tryReserve(2_000);
    simulation.timers.advanceMs(1_000);
    first.tableUnreachable = true;
    first.peersUnreachable = true;
    simulation.timers.advanceMs(1_600);
    reserveAll(first, 100);
    long before = simulation.spentTokens();

    first.tryReserve(250);
    simulation.timers.advanceMs(900);

    assertThat(simulation.spentTokens()).isAtLeast(before + 250);
  }

  @Test
  void reportsSpentBudgetOnlyAfterFullRead() {
    simulation.timers.advanceMs(SETTLED_MS);
    for (SpendingSimulation.SimulatedInstance instance : List.of(first, second)) {
      for (int round = 0; round < 200; round++) {
        instance.tryReserve(7_000);
        simulation.timers.advanceMs(100);
      }
    }
    assertThat(simulation.spentTokens()).isAtLeast(110_000);
    assertThat(first.lastRefusal).contains("tokens left");

    first.tableUnreachable = true;
    simulation.timers.advanceMs(5_000);
    first.tryReserve(50_000);
    simulation.timers.advanceMs(1_000);

    assertThat(first.lastRefusal).contains("at hand");
  }

  // Guards against slow refusals: the rows of the last second show that the team has spent its
  // budget, so a request is refused immediately and not after every instance was asked.
  @Test
  void refusesImmediatelyWhenTheLatestRowsShowSpentBudget() {
    simulation.timers.advanceMs(SETTLED_MS);
    for (int round = 0; round < 200; round++) {
      first.tryReserve(7_000);
      second.tryReserve(7_000);
      simulation.timers.advanceMs(100);
    }
    simulation.timers.advanceMs(SETTLED_MS);
    first.lastRefusal = "";

    first.tryReserve(50_000);

    assertThat(first.lastRefusal).contains("tokens left");
  }

  // Guards against retries without end: nearly the whole budget is spent, and two instances each
  // hold less than a request needs. A request that fits into both parts together must be served.
  @Test
  void servesRequestFromTheLastTokensOfSeveralInstances() {
    simulation.timers.advanceMs(SETTLED_MS);
    while (simulation.spentTokens() < 110_000) {
      first.tryReserve(4_000);
      second.tryReserve(4_000);
      simulation.timers.advanceMs(200);
    }
    second.tryReserve(2_000);
    simulation.timers.advanceMs(200);
    long remainingTokens = simulation.prepaidTokens() - simulation.spentTokens();
    simulation.timers.advanceMs(3_000);
    long before = simulation.spentTokens();

    first.tryReserve(remainingTokens);
    simulation.timers.advanceMs(2_000);

    assertThat(simulation.spentTokens()).isEqualTo(before + remainingTokens);
    assertThat(simulation.spentTokens()).isEqualTo(simulation.prepaidTokens());
  }

  // Guards against spending beyond an unconfirmed row: a renewal takes effect but its answer is
  // lost, and then the table becomes unreachable. The instance spends all that it may and crashes;
  // a reader of the current row must count no fewer tokens.
  @Test
  void spendsNoMoreThanAnUnconfirmedRowAllows() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tryReserve(3_000);
    simulation.timers.advanceMs(3_000);
    first.answersLost = true;
    simulation.timers.advanceMs(1_100);
    first.tableUnreachable = true;
    first.peersUnreachable = true;
    simulation.timers.advanceMs(1_100);

    reserveAll(first, 100);
    first.kill();

    InstanceSpending row = tableSnapshot().instance(SpendingTable.instanceKey("ankara-1"));
    long counted =
        row.closedAt(simulation.timers.nowMs()).grantOf(SpendingSimulation.TEAM).spentTokens();
    assertThat(simulation.spentTokens()).isAtLeast(3_000);
    assertThat(counted).isAtLeast(simulation.spentTokens());
  }

  @Test
  void returnsAllTokensOnShutdown() {
    simulation.timers.advanceMs(SETTLED_MS);
    first.tryReserve(1_000);
    simulation.timers.advanceMs(500);
    first.settleOne(400);

    first.spending.returnUnspentTokens();
    simulation.timers.advanceMs(100);

    SpendingGrant left =
        tableSnapshot()
            .instance(SpendingTable.instanceKey("ankara-1"))
            .grantOf(SpendingSimulation.TEAM);
    assertThat(left.spentTokens()).isEqualTo(400);
    assertThat(left.heldTokens()).isEqualTo(0);
  }
}
