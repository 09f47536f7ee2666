package io.mothrill.core.forward.admission;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.admission.AdmissionSimulation.Call;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Load: a plain service with 24 slots of 57 ms work gets twice the demand that it can serve for 3
 * s, because one of four teams sends seven times its usual. Guards against one team displacing the
 * others, and urgent requests being refused like all others.
 */
class AdmissionLoadTest {

  private static final double USUAL_PER_S = 0.2 * 24 / 0.057;
  private static final List<String> USUAL_TEAMS = List.of("a", "b", "c");

  private static AdmissionSimulation overload(int instanceCount, boolean isActive) {
    AdmissionSimulation simulation = new AdmissionSimulation(instanceCount, isActive, 7);
    offerUsual(simulation, 5_000);
    simulation.timers.advanceMs(1_000);
    simulation.offer("large", 6 * USUAL_PER_S, 3_000);
    simulation.timers.advanceMs(6_000);
    return simulation;
  }

  static void offerUsual(AdmissionSimulation simulation, long forMs) {
    USUAL_TEAMS.forEach(team -> simulation.offer(team, USUAL_PER_S, forMs));
    simulation.offer("large", USUAL_PER_S, forMs);
  }

  private static boolean isInOverload(Call call) {
    return call.startMs >= 1_000 && call.startMs < 4_000;
  }

  private static double shareOf(AdmissionSimulation simulation, String team) {
    return simulation.servedShare(call -> isInOverload(call) && call.team.equals(team));
  }

  private static double urgentShare(AdmissionSimulation simulation) {
    return simulation.servedShare(call -> isInOverload(call) && call.priority == 0);
  }

  private static long timelyCount(AdmissionSimulation simulation) {
    return simulation.calls.stream()
        .filter(call -> isInOverload(call) && call.isServed() && call.tookMs <= 145)
        .count();
  }

  @Test
  void teamsWithUsualDemandAndUrgentRequestsAreServed() {
    // GIVEN
    AdmissionSimulation without = overload(6, false);
    // WHEN
    AdmissionSimulation with = overload(6, true);
    // THEN
    USUAL_TEAMS.forEach(team -> assertThat(shareOf(with, team)).isAtLeast(0.9));
    USUAL_TEAMS.forEach(team -> assertThat(shareOf(without, team)).isAtMost(0.8));
    assertThat(urgentShare(with)).isAtLeast(0.9);
    assertThat(urgentShare(without)).isAtMost(0.8);
    assertThat(shareOf(with, "large")).isAtLeast(0.28); // its max-min share of the slots
    assertThat(timelyCount(with)).isGreaterThan(timelyCount(without));
    assertThat(with.turnedAwayCount).isLessThan(without.turnedAwayCount / 10);
  }
}
