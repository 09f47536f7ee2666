package io.mothrill.core.forward.prompt;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.forward.load.LoadFeatures;
import org.junit.jupiter.api.Test;

/**
 * Answers the load "long prompts next to short replies": 25 instances send prompts with a heavy
 * tail beside short ones to 63 engines.
 */
class PromptPoolsLoadTest {

  private static SimulatedFleet run(boolean underPressure) {
    SimulatedFleet fleet = new SimulatedFleet(25, 63, 3, LoadFeatures.of(underPressure), false);
    fleet.run(60_000, 0.2);
    return fleet;
  }

  // Guards against short prompts waiting behind long ones although other engines could take them,
  // and against pools that pay for it with late long prompts or with moving boundaries.
  @Test
  void fewShortPromptsOverlapWithLongOnes() {
    // GIVEN the same prompts without and with decisions under load
    SimulatedFleet without = run(false);

    // WHEN
    SimulatedFleet with = run(true);

    // THEN
    assertThat(with.shortCount).isEqualTo(without.shortCount);
    assertWithMessage(
            "of %s short prompts, %s without pools", with.shortCount, without.overlapCount)
        .that(with.overlapCount)
        .isLessThan(without.overlapCount / 10);
    assertThat(with.lateLongCount).isAtMost(without.lateLongCount);
    with.instances.forEach(instance -> assertThat(instance.pools.changeCount()).isAtMost(6));
  }
}
