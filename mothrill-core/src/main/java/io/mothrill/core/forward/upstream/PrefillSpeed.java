package io.mothrill.core.forward.upstream;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Estimates the prefill speed of upstreams from the times to first event of long prompts.
 *
 * <p>Most prompts are queued behind others, so the highest observed speeds count. They decay slowly
 * in case a service gets slower upstreams.
 */
public final class PrefillSpeed {

  /**
   * Used until the first long prompt was read; low, so that an upstream is avoided rather too long
   * than too briefly.
   */
  private static final double INITIAL_TOKENS_PER_MS = 40;

  /** The latency of shorter prompts is dominated by the network rather than by prefill. */
  private static final long LONG_PROMPT_TOKENS = 3_000;

  /** Factor applied to the speed for each long prompt; halves it in about 140 of them. */
  private static final double DECAY = 0.995;

  private final AtomicReference<Double> tokensPerMs = new AtomicReference<>(INITIAL_TOKENS_PER_MS);

  /**
   * Records the time that an upstream took until the first event.
   *
   * @param promptTokens the number of tokens to prefill
   * @param tookMs the time from sending to the first event
   */
  public void onPrefill(long promptTokens, long tookMs) {
    if (promptTokens >= LONG_PROMPT_TOKENS) {
      double seen = promptTokens / (double) Math.max(1, tookMs);
      tokensPerMs.updateAndGet(before -> Math.max(before * DECAY, seen));
    }
  }

  /**
   * Returns the estimated speed.
   *
   * @return tokens per millisecond
   */
  public double tokensPerMs() {
    return tokensPerMs.get();
  }
}
