package io.mothrill.core.forward.prompt;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Prompts of 4,000 tokens, 100 ms of prefill, at ten idle engines; up to 2 ms of jitter. */
class FirstEventCostTest {

  private static final Prompt PROMPT = SimulatedFleet.prompt(4_000);

  private final SimulatedFleet fleet = new SimulatedFleet(1, 10, 1, LoadFeatures.of(true), false);
  private final SimulatedFleet.Instance instance = fleet.instances.get(0);
  private final RegisteredUpstream engine = fleet.listed().get(0);
  private final String incarnation = engine.incarnation();

  private void assertCostMs(double expectedMs) {
    double costMs =
        instance
            .cost
            .costFunction(SimulatedFleet.query(PROMPT), fleet.listed(), fleet.timers.nowMs())
            .applyAsDouble(engine);
    assertThat(costMs).isWithin(1.1).of(expectedMs + 1);
  }

  private double backlogMs() {
    return instance.loads.of(incarnation).prefillBacklog().pendingMs(fleet.timers.nowMs());
  }

  // Guards against counting one queue twice: once from notices and once as an observed wait.
  @Test
  void observedWaitAndCountedBacklogAreNotAdded() {
    // GIVEN
    instance.tracker.onNotice(incarnation, 2_000);
    assertCostMs(100 + 0.3 * 50);

    // WHEN
    fleet.waitsMs.put(incarnation, 80.0);

    // THEN
    assertCostMs(100 + 0.3 * 80);
  }

  @Test
  void slowMachineAndWaitBeyondHalfOfTheTargetCount() {
    // WHEN
    fleet.slowdowns.put(incarnation, 1.5);
    fleet.waitsMs.put(incarnation, 151.5);

    // THEN
    assertCostMs(150 + 0.3 * 151.5 + 4 * 100);
  }

  @Test
  void preferredEngineOfPrefixIsInThePoolOfItsClass() {
    // GIVEN
    fleet.run(10_000, 0.05);
    ServicePools pools = instance.pools.poolsOf(SimulatedFleet.SERVICE, fleet.listed());
    List<Prompt.Part> parts = List.of(new Prompt.Part("s", 8_000), new Prompt.Part("own", 1_000));
    Prompt prompt = new Prompt("m", 9_000, 100, parts);

    // WHEN
    RegisteredUpstream first = instance.pick(prompt);

    // THEN
    assertThat(pools.isInPool(first, PromptClass.LONG)).isTrue();
    assertThat(pools.preferredFor(prompt, PromptClass.LONG).first()).isEqualTo(first.id());
  }

  @Test
  void backlogOfOwnPromptEndsWithItsFirstEventAndOfNoticedOneWithTime() {
    // GIVEN
    final SentPrompt sent = instance.tracker.onSent(engine, PROMPT);
    instance.tracker.onNotice(incarnation, 8_000);
    fleet.timers.advanceMs(150);
    assertThat(backlogMs()).isWithin(0.1).of(100 + 50);

    // WHEN
    sent.onFirstEvent(60);
    sent.onPrefillDone();

    // THEN
    assertThat(backlogMs()).isWithin(0.1).of(50);
    assertThat(instance.model.prefillMs(SimulatedFleet.SERVICE, 4_000)).isLessThan(70.0);
  }

  // Guards against a prompt that may be cached being taken for one that was read as a whole.
  @Test
  void promptsWhoseCachedPartIsUnknownTeachNothing() {
    List<Prompt.Part> parts = List.of(new Prompt.Part("s", 3_000), new Prompt.Part("own", 1_000));

    instance.tracker.onSent(engine, new Prompt("m", 4_000, 9, parts)).onFirstEvent(10);

    assertThat(instance.model.prefillMs(SimulatedFleet.SERVICE, 4_000)).isWithin(0.1).of(100);
  }

  // Guards against any effect on services without decisions under load.
  @Test
  void nothingIsFollowedWhereDecisionsUnderLoadAreNotActive() {
    SimulatedFleet.Instance inactive =
        new SimulatedFleet(1, 10, 1, LoadFeatures.onDemand(), false).instances.get(0);

    inactive.tracker.onNotice(incarnation, 8_000);

    assertThat(inactive.tracker.onSent(engine, PROMPT)).isSameInstanceAs(SentPrompt.UNTRACKED);
    assertThat(inactive.loads.of(incarnation).prefillBacklog().pendingMs(0)).isEqualTo(0);
  }
}
