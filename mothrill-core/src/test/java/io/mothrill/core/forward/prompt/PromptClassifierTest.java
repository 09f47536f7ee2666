package io.mothrill.core.forward.prompt;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import org.junit.jupiter.api.Test;

/** Guards against limits that follow anything else than what callers need. */
class PromptClassifierTest {

  private final PublishedValue<ForwardingPlan> plan =
      new PublishedValue<>(ForwardingPlan.unknown());
  private final PromptClassifier classifier = new PromptClassifier(plan, new PrefillTimeModel());

  private PromptClass classOf(long tokens) {
    return classifier.classOf(SimulatedFleet.SERVICE, tokens);
  }

  // The smallest target is 403 ms and the longest pause 400 ms; 40 tokens take 1 ms at first.
  @Test
  void classesFollowTargetLatencyAndLongestPause() {
    // WHEN
    plan.publish(SimulatedFleet.plan());

    // THEN
    assertThat(classOf(2_000)).isEqualTo(PromptClass.SHORT);
    assertThat(classOf(2_030)).isEqualTo(PromptClass.LONG);
    assertThat(classOf(31_900)).isEqualTo(PromptClass.LONG);
    assertThat(classOf(32_100)).isEqualTo(PromptClass.BULK);
  }

  @Test
  void allPromptsAreShortWhereNoStreamingRouteLeads() {
    assertThat(classOf(60_000)).isEqualTo(PromptClass.SHORT);
  }
}
