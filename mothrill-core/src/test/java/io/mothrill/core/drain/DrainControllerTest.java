package io.mothrill.core.drain;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import org.junit.jupiter.api.Test;

class DrainControllerTest {

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<DrainStage> stage = new PublishedValue<>(DrainStage.SERVING);
  private final Work work = new Work();
  private final DrainController drain =
      new DrainController(stage, timers, new DrainSettings(3_000, 60_000, 10_000), work);

  private static final class Work implements DrainWork {
    private int announced;
    private boolean idle;
    private boolean handedOver;

    @Override
    public void announce() {
      announced++;
    }

    @Override
    public boolean isIdle() {
      return idle;
    }

    @Override
    public void handOver() {
      // The hand-over itself is tested with the components that do it.
    }

    @Override
    public boolean isHandedOver() {
      return handedOver;
    }
  }

  // Guards against refusing requests too early: the load balancer still sends requests for a while
  // after readiness fails.
  @Test
  void acceptsRequestsUntilTheLoadBalancerHasHadTimeToNotice() {
    // WHEN
    final var done = drain.drain();
    timers.advanceMs(2_999);
    final boolean refusedEarly = stage.read().refusesNew();
    timers.advanceMs(1);
    // THEN
    assertThat(refusedEarly).isFalse();
    assertThat(stage.read().refusesNew()).isTrue();
    assertThat(done.isDone()).isFalse();
  }

  @Test
  void waitsForTheLastRequestBeforeHandOver() {
    // GIVEN
    final var done = drain.drain();
    timers.advanceMs(30_000);
    final DrainStage whileOneIsUnderWay = stage.read();
    // WHEN
    work.idle = true;
    work.handedOver = true;
    timers.advanceMs(200);
    // THEN
    assertThat(whileOneIsUnderWay).isEqualTo(DrainStage.FINISHING);
    assertThat(done.isDone()).isTrue();
  }

  // Guards against a process that never exits because the platform is unreachable and nothing can
  // be handed over. Its bills are stored at other instances.
  @Test
  void endsInBoundedTimeWhenHandOverFails() {
    // GIVEN
    work.idle = true;
    final var done = drain.drain();
    // WHEN
    timers.advanceMs(3_000 + 100 + 10_000 + 100);
    // THEN
    assertThat(done.isDone()).isTrue();
  }

  @Test
  void secondDrainCallHasNoEffect() {
    // WHEN
    var first = drain.drain();
    timers.advanceMs(1_000);
    var second = drain.drain();
    // THEN
    assertThat(second).isSameInstanceAs(first);
    assertThat(work.announced).isEqualTo(1);
  }
}
