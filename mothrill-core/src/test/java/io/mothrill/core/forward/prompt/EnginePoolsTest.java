package io.mothrill.core.forward.prompt;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EnginePoolsTest {

  private static final String SERVICE = SimulatedFleet.SERVICE;

  private final ManualTimers timers = new ManualTimers();
  private final EnginePools pools = new EnginePools(new PrefixCacheEstimator(), () -> 1, timers);
  private final List<RegisteredUpstream> engines =
      IntStream.range(0, 20).mapToObj(i -> SimulatedFleet.engine(i, 0)).toList();

  private void request(double shortMs, double longMs, double bulkMs) {
    pools.poolsOf(SERVICE, engines);
    pools.onSent(SERVICE, PromptClass.SHORT, 800, shortMs);
    pools.onSent(SERVICE, PromptClass.LONG, 8_000, longMs);
    pools.onSent(SERVICE, PromptClass.BULK, 40_000, bulkMs);
  }

  private List<Integer> sizes() {
    return Stream.of(PromptClass.values()).map(pools::engineCount).toList();
  }

  // A new instance must not divide the engines by its first prompts.
  @Test
  void enginesAreDividedInProportionToPrefillTimeAfterFewSeconds() {
    // GIVEN
    request(3_000, 5_000, 2_000);
    timers.advanceMs(4_000);
    assertThat(sizes()).containsExactly(0, 0, 0);

    // WHEN
    timers.advanceMs(2_000);

    // THEN
    assertThat(sizes()).containsExactly(6, 10, 4).inOrder();
  }

  @Test
  void eachClassWithDemandGetsAtLeastOneEngine() {
    // WHEN
    request(50, 10_000, 0);
    timers.advanceMs(10_000);

    // THEN
    assertThat(sizes()).containsExactly(1, 19, 0).inOrder();
  }

  // Guards against boundaries that flap, each move of which costs prefix caches.
  @Test
  void boundariesStayWhileSharesVaryLittleAndFollowLargeChanges() {
    // GIVEN
    request(3_000, 5_000, 2_000);
    timers.advanceMs(6_000);
    Random random = new Random(5);

    // WHEN
    for (int second = 0; second < 120; second++) {
      request(30 + random.nextInt(60), 80 + random.nextInt(40), 30 + random.nextInt(20));
      timers.advanceMs(1_000);
    }

    // THEN
    assertThat(sizes()).containsExactly(6, 10, 4).inOrder();
    assertThat(pools.changeCount()).isEqualTo(1);
    request(9_000, 0, 0);
    timers.advanceMs(1_000);
    assertThat(pools.engineCount(PromptClass.SHORT)).isGreaterThan(10);
  }

  // Guards against a pool whose engines have more requests than slots: short prompts take little
  // prefill time, but most of the slots.
  @Test
  void slotsCountBesidePrefillTime() {
    // GIVEN
    request(2_000, 5_000, 3_000);
    pools.onEnded(SERVICE, PromptClass.SHORT, 60_000);
    pools.onEnded(SERVICE, PromptClass.LONG, 30_000);
    pools.onEnded(SERVICE, PromptClass.BULK, 10_000);

    // WHEN
    timers.advanceMs(6_000);

    // THEN
    assertThat(sizes()).containsExactly(6, 9, 5).inOrder();
  }
}
