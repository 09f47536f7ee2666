package io.mothrill.core.forward.warmup;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.upstream.ServingUpstream;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// The upstreams of a domain come back together, empty and cold. To every instance they look like
// the best choice; all at once they would end them under ten times what they bear.
class WarmUpPermitsTest {

  private final ManualTimers timers = new ManualTimers();
  private final WarmUpWorld world = new WarmUpWorld(timers, 8);

  private int takeAll(WarmUpWorld.Instance instance, ServingUpstream upstream) {
    return (int)
        IntStream.range(0, 100).filter(number -> instance.permits().tryTake(upstream)).count();
  }

  @Test
  void oneInstanceOfItsDomainSendsToAnUpstreamThatWarmsUp() {
    ServingUpstream cold = world.turnCold(0, 3_000);

    List<WarmUpWorld.Instance> senders =
        world.instances().stream().filter(instance -> instance.permits().hasPermit(cold)).toList();

    assertThat(senders).hasSize(1);
    assertThat(senders.get(0).record().domain()).isEqualTo(cold.domain());
  }

  @Test
  void itSendsQuarterOfWhatIsAllowedInAnySecond() {
    ServingUpstream cold = world.turnCold(0, 3_000);
    WarmUpWorld.Instance sender = world.senderTo(cold);

    assertThat(takeAll(sender, cold)).isEqualTo(WarmUpWorld.MOST_IN_A_SECOND / 4);
    timers.advanceMs(1_000);
    assertThat(takeAll(sender, cold)).isEqualTo(0);
    timers.advanceMs(1);
    assertThat(takeAll(sender, cold)).isEqualTo(WarmUpWorld.MOST_IN_A_SECOND / 4);
  }

  @Test
  void warmUpstreamsAreNotBounded() {
    ServingUpstream cold = world.turnCold(0, 3_000);
    timers.advanceMs(3_000);

    assertThat(takeAll(world.senderTo(cold), cold)).isEqualTo(100);
  }

  // An instance that cannot read who the others are would take itself for the first of those that
  // it last knew.
  @Test
  void instanceThatDoesNotKnowTheFleetSendsNothing() {
    ServingUpstream cold = world.turnCold(0, 3_000);
    WarmUpWorld.Instance sender = world.senderTo(cold);

    sender.cutOff();
    timers.advanceMs(WarmUpWorld.CURRENT_MS + 1);
    ServingUpstream still = world.turnCold(0, 3_000);

    assertThat(sender.permits().hasPermit(still)).isFalse();
  }

  @Test
  void callersAreToldToComeBackWithinSecond() {
    ServingUpstream cold = world.turnCold(0, 60_000);

    SendPermits permits = world.instances().get(0).permits();

    assertThat(permits.retryAfterMs(cold)).isEqualTo(1_000);
    timers.advanceMs(59_600);
    assertThat(permits.retryAfterMs(cold)).isEqualTo(400);
  }
}
