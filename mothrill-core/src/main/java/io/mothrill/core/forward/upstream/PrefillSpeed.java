package io.mothrill.core.forward.upstream;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Learns how fast upstreams read prompts, from the times to the first event of long ones.
 *
 * <p>Most prompts wait for others, so the highest speeds seen count; they fade slowly, in case a
 * service gets slower upstreams.
 */
public final class PrefillSpeed {

  /** Until the first long prompt was read: slow enough to avoid an upstream rather too long. */
  private static final double INITIAL_TOKENS_PER_MS = 40;

  /** Shorter prompts say more about the way there than about reading. */
  private static final long LONG_PROMPT_TOKENS = 3_000;

  /** Part that the speed loses with each long prompt: halves in about 140 of them. */
  private static final double DECAY = 0.995;

  private final AtomicReference<Double> tokensPerMs = new AtomicReference<>(INITIAL_TOKENS_PER_MS);

  /**
   * Notes how long an upstream took to the first event.
   *
   * @param promptTokens the tokens that it had to read
   * @param tookMs from sending to the first event
   */
  public void onPrefill(long promptTokens, long tookMs) {
    if (promptTokens >= LONG_PROMPT_TOKENS) {
      double seen = promptTokens / (double) Math.max(1, tookMs);
      tokensPerMs.updateAndGet(before -> Math.max(before * DECAY, seen));
    }
  }

  /**
   * Gives the speed.
   *
   * @return tokens in a millisecond
   */
  public double tokensPerMs() {
    return tokensPerMs.get();
  }
}
