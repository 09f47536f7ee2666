package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SpendingShortageTest {

  private static final long PREPAID_TOKENS = 100_000;
  private static final long SETTLED_MS = 3_000;

  private final SpendingSimulation simulation = new SpendingSimulation(PREPAID_TOKENS, 3);
  private final SpendingSimulation.SimulatedInstance instance = simulation.start("konya-1");

  @Test
  void refusalReportsWhereTheTokensAre() {
    // GIVEN
    SpendingSimulation.SimulatedInstance other = simulation.start("kayseri-1");
    simulation.timers.advanceMs(SETTLED_MS);
    other.tryReserve(PREPAID_TOKENS / 2);
    simulation.timers.advanceMs(SETTLED_MS);
    other.peersUnreachable = true;
    instance.tableUnreachable = true;
    // WHEN
    instance.tryReserve(PREPAID_TOKENS * 45 / 100);
    simulation.timers.advanceMs(SETTLED_MS);
    // THEN
    assertThat(instance.lastRefusal).contains("unassigned");
    assertThat(instance.lastRefusal).contains("others hold");
    assertThat(instance.spending.refusedCount()).isEqualTo(1);
  }

  @Test
  void refusalCoveredByUnassignedTokensIsCounted() {
    // GIVEN
    simulation.timers.advanceMs(SETTLED_MS);
    simulation.topUp(PREPAID_TOKENS);
    instance.tableUnreachable = true;
    simulation.timers.advanceMs(SETTLED_MS);
    // WHEN
    instance.tryReserve(PREPAID_TOKENS);
    instance.tryReserve(PREPAID_TOKENS);
    simulation.timers.advanceMs(SETTLED_MS);
    // THEN
    assertThat(instance.spending.refusedThoughUnassignedCount())
        .isEqualTo(instance.spending.refusedCount());
    assertThat(instance.spending.refusedCount()).isAtLeast(1);
  }
}
