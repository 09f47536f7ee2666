package io.mothrill.core.forward.capacity;

import java.util.concurrent.atomic.AtomicReference;

/** Running averages of this instance's requests to one service; thread-safe. */
final class RequestAverages {

  /** Used until the first request has ended; responses of engines take seconds. */
  private static final double INITIAL_RESPONSE_MS = 3_000;

  /** Instances send notices only of prompts with at least this many uncached tokens. */
  private static final long MIN_NOTICE_TOKENS = 1_500;

  private final AtomicReference<DecayingMean> tokens = new AtomicReference<>(DecayingMean.EMPTY);
  private final AtomicReference<DecayingMean> tokensBeyondNotice =
      new AtomicReference<>(DecayingMean.EMPTY);
  private final AtomicReference<DecayingMean> responseMs =
      new AtomicReference<>(DecayingMean.EMPTY);

  void onSent(long maxTokens, long uncachedTokens) {
    tokens.updateAndGet(mean -> mean.plus(maxTokens, 1));
    if (uncachedTokens >= MIN_NOTICE_TOKENS) {
      tokensBeyondNotice.updateAndGet(
          mean -> mean.plus(Math.max(0, maxTokens - uncachedTokens), 1));
    }
  }

  /**
   * Records a response. It is weighted by its tokens: the responses to long prompts take longer
   * than the others and hold most of the memory.
   */
  void onEnded(long maxTokens, long tookMs) {
    responseMs.updateAndGet(mean -> mean.plus(tookMs, Math.max(1, maxTokens)));
  }

  /** Returns the average maximum tokens of a request. */
  double tokens() {
    return tokens.get().meanOr(0);
  }

  /**
   * Returns how many tokens a request holds on average beyond those in its notice: the cached part
   * of its prompt and its maximum output.
   */
  double tokensBeyondNotice() {
    return tokensBeyondNotice.get().meanOr(0);
  }

  /** Returns the average time from sending a request to its end. */
  long responseMs() {
    return Math.max(1, Math.round(responseMs.get().meanOr(INITIAL_RESPONSE_MS)));
  }
}
