package io.mothrill.core.forward.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against limits that stay closed after a failure, or that close on a healthy service. */
class AdmissionFailureTest {

  private final AdmissionSimulation simulation = new AdmissionSimulation(6, true, 7);

  private double servedShareSince(long startMs) {
    return simulation.servedShare(call -> call.startMs >= startMs);
  }

  private void setRejectsAll(boolean rejectsAll) {
    simulation.upstreams.forEach(upstream -> upstream.rejectsAll = rejectsAll);
  }

  @Test
  void opensAgainWithinTwoSecondsOfRecoveryOfAllUpstreams() {
    // GIVEN
    AdmissionLoadTest.offerUsual(simulation, 8_000);
    simulation.timers.advanceMs(1_000);
    setRejectsAll(true);
    simulation.timers.advanceMs(3_000);
    // WHEN
    setRejectsAll(false);
    simulation.timers.advanceMs(6_000);
    // THEN
    assertThat(servedShareSince(6_000)).isAtLeast(0.99);
  }

  @Test
  void callersRefusedTogetherReturnSpreadOut() {
    // GIVEN
    setRejectsAll(true);
    // WHEN
    simulation.offer("a", 20_000, 10);
    simulation.timers.advanceMs(20);
    // THEN
    Map<Long, Long> by20Ms =
        simulation.returnsMs.stream()
            .collect(Collectors.groupingBy(atMs -> atMs / 20, Collectors.counting()));
    assertThat(by20Ms.values().stream().max(Long::compare).get())
        .isAtMost(simulation.returnsMs.size() / 4);
  }

  @Test
  void nothingIsRefusedAfterLoadReportsHaveStopped() {
    // GIVEN
    simulation.offer("large", 900, 2_000);
    simulation.timers.advanceMs(2_000);
    assertThat(simulation.limitedInstanceCount()).isGreaterThan(0);
    // WHEN
    simulation.upstreams.forEach(upstream -> upstream.reports = false);
    AdmissionLoadTest.offerUsual(simulation, 4_000);
    simulation.timers.advanceMs(6_000);
    // THEN
    assertThat(servedShareSince(2_000)).isAtLeast(0.99);
    assertThat(simulation.limitedInstanceCount()).isEqualTo(0);
  }

  @Test
  void restartedInstanceStartsWithoutLimitAndOthersKeepTheirs() {
    // GIVEN
    AdmissionLoadTest.offerUsual(simulation, 4_000);
    simulation.offer("large", 500, 4_000);
    simulation.timers.advanceMs(2_000);
    long limitedBefore = simulation.limitedInstanceCount();
    // WHEN
    simulation.restartInstance();
    // THEN
    assertThat(simulation.limitedInstanceCount()).isEqualTo(limitedBefore - 1);
    simulation.timers.advanceMs(4_000);
    assertThat(simulation.servedShare(call -> call.startMs >= 2_000 && call.team.equals("a")))
        .isAtLeast(0.9);
  }

  @Test
  void oneBrokenUpstreamDoesNotCloseServiceWithFreeSlots() {
    // GIVEN
    simulation.upstreams.get(0).rejectsAll = true;
    // WHEN
    simulation.offer("a", 150, 4_000);
    simulation.timers.advanceMs(6_000);
    // THEN
    assertThat(simulation.counts().overLimit() + simulation.counts().overShare()).isEqualTo(0);
  }
}
