package io.mothrill.core.forward.capacity;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.capacity.EngineMemorySimulation.Result;
import org.junit.jupiter.api.Test;

/**
 * Load: 25 instances send prompts of 40,000 to 60,000 tokens to 8 engines with memory for 391,487
 * tokens, for a minute half as many again as the engines can prefill. Guards against crashing
 * engines by more tokens than their memory, and against leaving them idle instead.
 */
class EngineMemoryLoadTest {

  private static final int PROMPTS = 1_200;

  /** The engines prefill about this many prompts while others arrive; the rest is refused. */
  private static final int TIMELY_PROMPTS = 770;

  private static Result run(boolean active, double lostShare) {
    Result result = new EngineMemorySimulation(active, lostShare).run(PROMPTS, 60_000);
    System.out.printf("engine memory: active=%s lost=%s %s%n", active, lostShare, result);
    return result;
  }

  @Test
  void enginesAreAskedToHoldSeveralTimesTheirMemoryWithoutTheCheck() {
    assertThat(run(false, 0).fullestTokens())
        .isGreaterThan(5 * EngineMemorySimulation.MEMORY_TOKENS);
  }

  @Test
  void enginesAreNotFilledBeyondTheirMemoryNorLeftIdle() {
    Result result = run(true, 0);

    assertThat(result.overfilledCount()).isEqualTo(0);
    assertThat(result.servedCount()).isAtLeast(TIMELY_PROMPTS);
    assertThat(result.servedCount() + result.refusedCount()).isEqualTo(PROMPTS);
  }

  // The margin of a tenth is smaller than one of these prompts, so it does not cover two lost
  // notices about one engine.
  @Test
  void fewRequestsOverfillEnginesWhenOneNoticeInTenIsLost() {
    Result result = run(true, 0.1);

    assertThat(result.overfilledCount()).isAtMost(PROMPTS / 50);
    assertThat(result.fullestTokens()).isLessThan(EngineMemorySimulation.MEMORY_TOKENS * 5 / 4);
    assertThat(result.servedCount()).isAtLeast(TIMELY_PROMPTS);
  }
}
