package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SpendingShortageTest {

  private static final long PREPAID_TOKENS = 100_000;
  private static final long SETTLED_MS = 3_000;

  private final SpendingSimulation world = new SpendingSimulation(PREPAID_TOKENS, 3);
  private final SpendingSimulation.SimulatedInstance member = world.start("konya-1");

  @Test
  void refusalSaysWhereTheTokensOfTheTeamAre() {
    // GIVEN
    SpendingSimulation.SimulatedInstance other = world.start("kayseri-1");
    world.timers.advanceMs(SETTLED_MS);
    other.tryReserve(PREPAID_TOKENS / 2);
    world.timers.advanceMs(SETTLED_MS);
    other.cutFromPeers = true;
    member.cutFromTable = true;
    // WHEN
    member.tryReserve(PREPAID_TOKENS * 45 / 100);
    world.timers.advanceMs(SETTLED_MS);
    // THEN
    assertThat(member.lastRefusal).contains("unassigned");
    assertThat(member.lastRefusal).contains("others hold");
    assertThat(member.spending.refusedCount()).isEqualTo(1);
  }

  @Test
  void refusalThatTheTableCouldHavePaidForIsCounted() {
    // GIVEN
    world.timers.advanceMs(SETTLED_MS);
    world.topUp(PREPAID_TOKENS);
    member.cutFromTable = true;
    world.timers.advanceMs(SETTLED_MS);
    // WHEN
    member.tryReserve(PREPAID_TOKENS);
    member.tryReserve(PREPAID_TOKENS);
    world.timers.advanceMs(SETTLED_MS);
    // THEN
    assertThat(member.spending.refusedThoughUnassignedCount())
        .isEqualTo(member.spending.refusedCount());
    assertThat(member.spending.refusedCount()).isAtLeast(1);
  }
}
