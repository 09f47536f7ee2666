package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SpendingAfterPowerLossTest {

  /** Minimum percentage of requests that must have their tokens in time. */
  private static final double IN_TIME_PERCENT = 95;

  /** Budget in seconds of load: a third more than the callers request in the whole test. */
  private static final long BUDGET_S = 55;

  /** Budget in seconds of load that is spent soon after the power loss. */
  private static final long SHORT_BUDGET_S = 40;

  /** The shortest target latency until the first byte. */
  private static final long SHORTEST_TARGET_LATENCY_MS = 300;

  private static final int HOT_TEAMS = 4;
  private static final double HOT_SHARE = 0.4;
  private static final long OUTAGE_MS = 1_200;

  // Guards against a power loss during a store outage that leaves teams without tokens they have
  // paid for.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 17})
  void callersAreServedAfterPowerLossDuringStoreOutage(long seed) {
    // GIVEN
    FleetLoad load = new FleetLoad(BUDGET_S, seed);
    load.start();
    load.sendRequests(10);
    load.concentrateLoad(HOT_TEAMS, HOT_SHARE);
    load.sendRequests(6);
    load.concentrateLoad(0, 0);
    load.disconnectStore();
    load.sendRequests(4);
    // WHEN
    load.losePower(OUTAGE_MS);
    load.sendRequests(3);
    load.reconnectStore();
    load.sendRequests(15);
    load.resetCounts();
    load.sendRequests(5);
    // THEN
    assertWithMessage("%s", load).that(load.inTimePercent()).isAtLeast(IN_TIME_PERCENT);
  }

  // Guards against refusals for lack of tokens that are sent after the target latency of the
  // request.
  @ParameterizedTest
  @ValueSource(longs = {1, 3, 17})
  void refusalsComeWithinTargetLatencyWhileBudgetsRunOut(long seed) {
    // GIVEN
    FleetLoad load = new FleetLoad(SHORT_BUDGET_S, seed);
    load.start();
    load.sendRequests(16);
    load.disconnectStore();
    load.sendRequests(8);
    load.reconnectStore();
    load.sendRequests(4);
    load.losePower(OUTAGE_MS);
    load.sendRequests(9);
    load.resetCounts();
    // WHEN
    load.sendRequests(5);
    // THEN
    assertWithMessage("%s", load)
        .that(load.refusedAfterMs(90))
        .isAtMost(SHORTEST_TARGET_LATENCY_MS);
  }

  // Guards against shortages while no instance has seen any demand since its start.
  @Test
  void callersAreServedRightAfterPowerLoss() {
    // GIVEN
    FleetLoad load = new FleetLoad(BUDGET_S, 17);
    load.start();
    load.sendRequests(10);
    load.losePower(OUTAGE_MS);
    load.sendRequests(2);
    load.resetCounts();
    // WHEN
    load.sendRequests(6);
    // THEN
    assertWithMessage("%s", load).that(load.inTimePercent()).isAtLeast(IN_TIME_PERCENT);
  }
}
