package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.plan.ForwardingPlan;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SpendingLatencyTest {

  private static final long PREPAID_TOKENS = 10_000_000;
  private static final long SETTLED_MS = 20_000;
  private static final int MANY_INSTANCES = 79;
  private static final int HUNDREDS_OF_INSTANCES = 300;
  private static final long TARGET_LATENCY_MS = 300;

  /** The longest target latency until the first byte. */
  private static final long LONGEST_WAIT_MS = 1_000;

  private static final long STEP_MS = 37;

  private final SpendingSimulation simulation = new SpendingSimulation(PREPAID_TOKENS, 5);

  private void settle() {
    simulation.timers.advanceMs(SETTLED_MS);
  }

  // Guards against wanted tokens that are lost when a request joins a renewal that started before
  // it.
  @Test
  void requestThatNeedsRenewalIsServedWheneverItComes() {
    // GIVEN
    List<SpendingSimulation.SimulatedInstance> instances =
        IntStream.range(0, MANY_INSTANCES).mapToObj(n -> simulation.start("konya-" + n)).toList();
    settle();
    // WHEN
    List<Boolean> served =
        instances.stream().limit(20).map(instance -> isServedInTime(instance, 100_000)).toList();
    // THEN
    assertThat(served).doesNotContain(false);
  }

  private boolean isServedInTime(SpendingSimulation.SimulatedInstance instance, long tokens) {
    CompletableFuture<SpendingReservation> reserved =
        instance.reserve(SpendingSimulation.TEAM, tokens);
    simulation.timers.advanceMs(TARGET_LATENCY_MS);
    boolean served = reserved.isDone() && !reserved.isCompletedExceptionally();
    simulation.timers.advanceMs(2 * TARGET_LATENCY_MS + STEP_MS);
    return served;
  }

  // Guards against a recently started store clock being mistaken for a read that showed no tokens.
  @Test
  void firstRequestIsServedWhileTheStoreIsYoung() {
    // GIVEN
    SpendingSimulation.SimulatedInstance instance = simulation.start("konya-1");
    // WHEN
    CompletableFuture<SpendingReservation> reserved =
        instance.reserve(SpendingSimulation.TEAM, 1_000);
    simulation.timers.advanceMs(TARGET_LATENCY_MS);
    // THEN
    assertThat(reserved.isDone()).isTrue();
    assertThat(reserved.isCompletedExceptionally()).isFalse();
  }

  // Guards against treating the budget of a team without a row as spent.
  @Test
  void firstRequestOfNewTeamIsServed() {
    // GIVEN
    SpendingSimulation newcomers =
        new SpendingSimulation(
            List.of("first", "second"), List.of(PREPAID_TOKENS, PREPAID_TOKENS), 5);
    ForwardingPlan whole = newcomers.plan.read();
    newcomers.plan.publish(ForwardingPlan.unknown());
    SpendingSimulation.SimulatedInstance instance = newcomers.start("konya-1");
    newcomers.timers.advanceMs(TARGET_LATENCY_MS);
    newcomers.plan.publish(whole);
    // WHEN
    CompletableFuture<SpendingReservation> reserved = instance.reserve("second", 1_000);
    newcomers.timers.advanceMs(TARGET_LATENCY_MS);
    // THEN
    assertThat(reserved.isDone()).isTrue();
    assertThat(reserved.isCompletedExceptionally()).isFalse();
  }

  // Guards against requests that wait for seconds until the rate limit of a large fleet allows a
  // renewal.
  @Test
  void requestsOfHundredsOfInstancesDoNotWaitForPacedRenewals() {
    // GIVEN
    List<SpendingSimulation.SimulatedInstance> instances =
        IntStream.range(0, HUNDREDS_OF_INSTANCES)
            .mapToObj(n -> simulation.start("konya-" + n))
            .toList();
    settle();
    SpendingSimulation.SimulatedInstance instance = instances.get(1);
    instance.tryReserve(PREPAID_TOKENS / 100);
    simulation.timers.advanceMs(TARGET_LATENCY_MS);
    // WHEN
    CompletableFuture<SpendingReservation> reserved =
        instance.reserve(SpendingSimulation.TEAM, PREPAID_TOKENS / 10);
    simulation.timers.advanceMs(LONGEST_WAIT_MS);
    // THEN
    assertThat(reserved.isDone()).isTrue();
  }
}
