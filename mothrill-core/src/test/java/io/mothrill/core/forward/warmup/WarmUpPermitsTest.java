package io.mothrill.core.forward.warmup;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against overloading upstreams of a failure domain that return together, idle and cold.
// Every instance would select them first, and all together would crash them with ten times their
// capacity.
class WarmUpPermitsTest {

  private final ManualTimers timers = new ManualTimers();
  private final WarmUpSimulation simulation = new WarmUpSimulation(timers, 8);

  private int acquireAll(WarmUpSimulation.Instance instance, RegisteredUpstream upstream) {
    return (int)
        IntStream.range(0, 100).filter(number -> instance.permits().tryAcquire(upstream)).count();
  }

  @Test
  void oneInstanceOfItsDomainSendsToWarmingUpstream() {
    RegisteredUpstream cold = simulation.makeCold(0, 3_000);

    List<WarmUpSimulation.Instance> senders =
        simulation.instances().stream()
            .filter(instance -> instance.permits().hasPermit(cold))
            .toList();

    assertThat(senders).hasSize(1);
    assertThat(senders.get(0).record().domain()).isEqualTo(cold.domain());
  }

  @Test
  void senderUsesQuarterOfTheLimitInAnySecond() {
    RegisteredUpstream cold = simulation.makeCold(0, 3_000);
    WarmUpSimulation.Instance sender = simulation.senderTo(cold);

    assertThat(acquireAll(sender, cold)).isEqualTo(WarmUpSimulation.MAX_REQUESTS_PER_SECOND / 4);
    timers.advanceMs(1_000);
    assertThat(acquireAll(sender, cold)).isEqualTo(0);
    timers.advanceMs(1);
    assertThat(acquireAll(sender, cold)).isEqualTo(WarmUpSimulation.MAX_REQUESTS_PER_SECOND / 4);
  }

  @Test
  void warmUpstreamsAreNotLimited() {
    RegisteredUpstream cold = simulation.makeCold(0, 3_000);
    timers.advanceMs(3_000);

    assertThat(acquireAll(simulation.senderTo(cold), cold)).isEqualTo(100);
  }

  // An instance that cannot read the list of instances would consider itself the first of those it
  // last knew.
  @Test
  void instanceThatDoesNotKnowTheFleetSendsNothing() {
    RegisteredUpstream cold = simulation.makeCold(0, 3_000);
    WarmUpSimulation.Instance sender = simulation.senderTo(cold);

    sender.cutOff();
    timers.advanceMs(WarmUpSimulation.CURRENT_MS + 1);
    RegisteredUpstream still = simulation.makeCold(0, 3_000);

    assertThat(sender.permits().hasPermit(still)).isFalse();
  }

  @Test
  void callersMayRetryWithinSecond() {
    RegisteredUpstream cold = simulation.makeCold(0, 60_000);

    SendPermits permits = simulation.instances().get(0).permits();

    assertThat(permits.retryAfterMs(cold)).isEqualTo(1_000);
    timers.advanceMs(59_600);
    assertThat(permits.retryAfterMs(cold)).isEqualTo(400);
  }
}
