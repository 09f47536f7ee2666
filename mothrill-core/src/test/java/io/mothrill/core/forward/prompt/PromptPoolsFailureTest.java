package io.mothrill.core.forward.prompt;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompts that find no engine, or the wrong ones, when a part of the pools fails.
 */
class PromptPoolsFailureTest {

  private static final Prompt PROMPT = SimulatedFleet.prompt(826);

  private static SimulatedFleet fleet(int engineCount, boolean noticesLost) {
    SimulatedFleet fleet =
        new SimulatedFleet(5, engineCount, 1, LoadFeatures.of(true), noticesLost);
    fleet.run(20_000, 0.05);
    return fleet;
  }

  private static List<RegisteredUpstream> pool(SimulatedFleet fleet, PromptClass promptClass) {
    ServicePools pools =
        fleet.instances.get(0).pools.poolsOf(SimulatedFleet.SERVICE, fleet.listed());
    return fleet.listed().stream().filter(one -> pools.isInPool(one, promptClass)).toList();
  }

  @Test
  void promptsLeavePoolWhoseEnginesAreAvoided() {
    // GIVEN
    SimulatedFleet fleet = fleet(18, false);
    SimulatedFleet.Instance instance = fleet.instances.get(0);
    List<RegisteredUpstream> pool = pool(fleet, PromptClass.SHORT);
    assertThat(pool).contains(instance.pick(PROMPT));

    // WHEN
    long nowMs = fleet.timers.nowMs();
    pool.forEach(engine -> instance.loads.of(engine.incarnation()).onFailure(nowMs));

    // THEN
    assertThat(pool).doesNotContain(instance.pick(PROMPT));
  }

  @Test
  void enginesAreDividedAnewWhenThoseOfOnePoolAreGone() {
    // GIVEN
    SimulatedFleet fleet = fleet(18, false);
    List<RegisteredUpstream> gone = pool(fleet, PromptClass.SHORT);

    // WHEN
    fleet.list.publish(
        new UpstreamList(fleet.listed().stream().filter(one -> !gone.contains(one)).toList()));

    // THEN
    RegisteredUpstream picked = fleet.instances.get(0).pick(PROMPT);
    assertThat(pool(fleet, PromptClass.SHORT)).contains(picked);
  }

  // Without notices an instance sees as little of others' long prompts as of their short ones.
  @Test
  void lostNoticesLeaveTheSharesAboutRight() {
    // GIVEN
    EnginePools heard = fleet(60, false).instances.get(0).pools;

    // WHEN
    EnginePools lost = fleet(60, true).instances.get(0).pools;

    // THEN
    for (PromptClass one : PromptClass.values()) {
      assertThat(heard.engineCount(one)).isGreaterThan(0);
      assertThat((double) lost.engineCount(one)).isWithin(12).of(heard.engineCount(one));
    }
  }

  @Test
  void domainWithFewerThanSixEnginesServesAllClasses() {
    // WHEN
    SimulatedFleet fleet = fleet(5, false);

    // THEN
    for (PromptClass one : PromptClass.values()) {
      assertThat(pool(fleet, one)).isEqualTo(fleet.listed());
      assertThat(fleet.instances.get(0).pools.engineCount(one)).isEqualTo(0);
    }
  }
}
