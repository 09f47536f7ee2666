package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SpendingControllerTest {

  private static final long SETTLED_MS = 6_000;

  private final SpendingSimulation world = new SpendingSimulation(120_000, 7);
  private final SpendingSimulation.SimulatedInstance first = world.start("ankara-1");
  private final SpendingSimulation.SimulatedInstance second = world.start("konya-1");

  private static int reserveAll(SpendingSimulation.SimulatedInstance member, long tokens) {
    int granted = 0;
    while (member.tryReserve(tokens)) {
      granted++;
    }
    return granted;
  }

  @Test
  void instancesCountEachOther() {
    world.timers.advanceMs(SETTLED_MS);

    assertThat(first.spending.instanceCount()).isEqualTo(2);
    assertThat(first.spending.peers().stream().map(other -> other.id()).toList())
        .containsExactly("konya-1");
  }

  @Test
  void refusesBeforeTheTableWasRead() {
    first.cutFromTable = true;

    assertThat(first.tryReserve(100)).isFalse();
    world.timers.advanceMs(2_000);

    assertThat(first.lastRefusal).contains("no row yet");
    assertThat(world.spentTokens()).isEqualTo(0);
  }

  // Both instances lose the table for ten seconds. Requests are still served from held tokens,
  // which the bound releases step by step.
  @Test
  void keepsSpendingDuringLongStoreOutage() {
    world.timers.advanceMs(SETTLED_MS);
    first.cutFromTable = true;
    int granted = 0;
    for (int second = 0; second < 20; second++) {
      world.timers.advanceMs(500);
      granted += first.tryReserve(1_000) ? 1 : 0;
    }
    assertThat(granted).isAtLeast(15);
  }

  // The process crashes one second after its last renewal. Its successor on the same machine counts
  // what may have been spent, and the rest of the held tokens is available again.
  @Test
  void crashLosesOnlyImmediateTokens() {
    world.timers.advanceMs(SETTLED_MS);
    first.tryReserve(1_000);
    world.timers.advanceMs(1_500);
    assertThat(world.spentTokens()).isEqualTo(1_000);
    first.kill();
    world.timers.advanceMs(700);

    world.start("ankara-1");
    world.timers.advanceMs(SETTLED_MS);

    long left = world.prepaidTokens() - contentsOfTable().spentTokens(SpendingSimulation.TEAM);
    assertThat(left).isAtLeast(110_000);
  }

  private SpendingTable.Snapshot contentsOfTable() {
    var rows = world.table.scan(SpendingTable.TABLE, "", "", SpendingTable.MAX_ROWS).join();
    return SpendingTable.Snapshot.of(rows, 0);
  }

  // Guards against counting tokens that were released after the crash: the successor starts soon
  // but reaches the table only after seconds. The previous process cannot have spent what would
  // have been released since then, so the team loses none of it.
  @Test
  void crashLosesNothingForTheTimeAfterTheSuccessorBegan() {
    world.timers.advanceMs(SETTLED_MS);
    first.tryReserve(1_000);
    world.timers.advanceMs(1_500);
    first.kill();
    world.timers.advanceMs(500);

    SpendingSimulation.SimulatedInstance successor = world.start("ankara-1");
    successor.cutFromTable = true;
    world.timers.advanceMs(9_000);
    successor.cutFromTable = false;
    world.timers.advanceMs(SETTLED_MS);

    long left = world.prepaidTokens() - contentsOfTable().spentTokens(SpendingSimulation.TEAM);
    assertThat(left).isAtLeast(110_000);
  }

  // Guards against refusing requests right after a start: the table answers only after half a
  // second, and a refused caller would retry a second later. A request that arrives meanwhile waits
  // for the first row.
  @Test
  void requestThatComesBeforeTheFirstRowWaitsForIt() {
    world.timers.advanceMs(SETTLED_MS);
    SpendingSimulation.SimulatedInstance starting = world.start("kayseri-1");
    starting.cutFromTable = true;
    starting.tryReserve(500);
    world.timers.advanceMs(450);
    starting.cutFromTable = false;

    world.timers.advanceMs(600);

    assertThat(world.spentTokens()).isEqualTo(500);
  }

  // Guards against missing a short recovery: the table is unreachable for seconds and back for less
  // than one. The row must be renewed in that time, or a crash in the next outage loses all tokens
  // released since the first one.
  @Test
  void renewsWithinHalfSecondWhenTheTableIsBack() {
    world.timers.advanceMs(SETTLED_MS);
    first.cutFromTable = true;
    world.timers.advanceMs(5_050);
    first.cutFromTable = false;
    world.timers.advanceMs(500);

    assertThat(first.spending.renewalAgeMs()).isAtMost(500);
  }

  // One instance has spent all its tokens when the table becomes unreachable, and the other holds
  // enough. The request is served from a loan instead of being refused.
  @Test
  void borrowsFromAnotherInstanceWhileTheTableIsAway() {
    world.timers.advanceMs(SETTLED_MS);
    first.cutFromTable = true;
    second.cutFromTable = true;
    world.timers.advanceMs(20_000);
    reserveAll(first, 5_000);
    long before = world.spentTokens();

    first.tryReserve(5_000);
    world.timers.advanceMs(1_000);

    assertThat(world.spentTokens()).isAtLeast(before + 5_000);
    assertThat(world.spentTokens()).isAtMost(world.prepaidTokens());
  }

  // Guards against refusals shortly before tokens are released: all instances have just lost the
  // table and none can lend, but the bound releases enough within half a second, less than the
  // delay of a retry.
  @Test
  void waitsForTokensReleasedSoon() {
    world.timers.advanceMs(SETTLED_MS);
    first.tryReserve(2_000);
    world.timers.advanceMs(1_000);
    first.cutFromTable = true;
    first.cutFromPeers = true;
    world.timers.advanceMs(1_600);
    reserveAll(first, 100);
    long before = world.spentTokens();

    first.tryReserve(250);
    world.timers.advanceMs(900);

    assertThat(world.spentTokens()).isAtLeast(before + 250);
  }

  @Test
  void saysThatBudgetIsSpentOnlyWhenTheWholeTableShowsIt() {
    world.timers.advanceMs(SETTLED_MS);
    for (SpendingSimulation.SimulatedInstance member : List.of(first, second)) {
      for (int round = 0; round < 200; round++) {
        member.tryReserve(7_000);
        world.timers.advanceMs(100);
      }
    }
    assertThat(world.spentTokens()).isAtLeast(110_000);
    assertThat(first.lastRefusal).contains("tokens left");

    first.cutFromTable = true;
    world.timers.advanceMs(5_000);
    first.tryReserve(50_000);
    world.timers.advanceMs(1_000);

    assertThat(first.lastRefusal).contains("at hand");
  }

  // Guards against slow refusals: the rows of the last second show that the team has spent its
  // budget, so a request is refused immediately and not after every instance was asked.
  @Test
  void refusesAtOnceWhatTheLastRowsShowToBeSpent() {
    world.timers.advanceMs(SETTLED_MS);
    for (int round = 0; round < 200; round++) {
      first.tryReserve(7_000);
      second.tryReserve(7_000);
      world.timers.advanceMs(100);
    }
    world.timers.advanceMs(SETTLED_MS);
    first.lastRefusal = "";

    first.tryReserve(50_000);

    assertThat(first.lastRefusal).contains("tokens left");
  }

  // Guards against retries without end: nearly the whole budget is spent, and two instances each
  // hold less than a request needs. A request that fits into both parts together must be served.
  @Test
  void servesRequestFromTheLastTokensOfSeveralInstances() {
    world.timers.advanceMs(SETTLED_MS);
    while (world.spentTokens() < 110_000) {
      first.tryReserve(4_000);
      second.tryReserve(4_000);
      world.timers.advanceMs(200);
    }
    second.tryReserve(2_000);
    world.timers.advanceMs(200);
    long left = world.prepaidTokens() - world.spentTokens();
    world.timers.advanceMs(3_000);
    long before = world.spentTokens();

    first.tryReserve(left);
    world.timers.advanceMs(2_000);

    assertThat(world.spentTokens()).isEqualTo(before + left);
    assertThat(world.spentTokens()).isEqualTo(world.prepaidTokens());
  }

  // Guards against spending beyond an unconfirmed row: a renewal takes effect but its answer is
  // lost, and then the table becomes unreachable. The instance spends all that it may and crashes;
  // a reader of the current row must count no fewer tokens.
  @Test
  void spendsNoMoreThanAnUnansweredRowShows() {
    world.timers.advanceMs(SETTLED_MS);
    first.tryReserve(3_000);
    world.timers.advanceMs(3_000);
    first.answersLost = true;
    world.timers.advanceMs(1_100);
    first.cutFromTable = true;
    first.cutFromPeers = true;
    world.timers.advanceMs(1_100);

    reserveAll(first, 100);
    first.kill();

    InstanceSpending row = contentsOfTable().instance(SpendingTable.instanceKey("ankara-1"));
    long counted =
        row.closedAt(world.timers.nowMs()).grantOf(SpendingSimulation.TEAM).spentTokens();
    assertThat(world.spentTokens()).isAtLeast(3_000);
    assertThat(counted).isAtLeast(world.spentTokens());
  }

  @Test
  void returnsAllTokensOnShutdown() {
    world.timers.advanceMs(SETTLED_MS);
    first.tryReserve(1_000);
    world.timers.advanceMs(500);
    first.settleOne(400);

    first.spending.returnUnspentTokens();
    world.timers.advanceMs(100);

    SpendingGrant left =
        contentsOfTable()
            .instance(SpendingTable.instanceKey("ankara-1"))
            .grantOf(SpendingSimulation.TEAM);
    assertThat(left.spentTokens()).isEqualTo(400);
    assertThat(left.heldTokens()).isEqualTo(0);
  }
}
