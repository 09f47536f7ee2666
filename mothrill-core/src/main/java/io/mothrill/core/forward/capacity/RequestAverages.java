package io.mothrill.core.forward.capacity;

import java.util.concurrent.atomic.AtomicReference;

/** Running averages of this instance's requests to one service; thread-safe. */
final class RequestAverages {

  /** Instances send notices only of prompts with at least this many uncached tokens. */
  private static final long MIN_NOTICE_TOKENS = 1_500;

  private final AtomicReference<DecayingMean> tokens = new AtomicReference<>(DecayingMean.EMPTY);
  private final AtomicReference<DecayingMean> tokensBeyondNotice =
      new AtomicReference<>(DecayingMean.EMPTY);
  private final AtomicReference<ResponseTimeModel> responseTime =
      new AtomicReference<>(ResponseTimeModel.initial());

  void onSent(long maxTokens, long uncachedTokens) {
    tokens.updateAndGet(mean -> mean.plus(maxTokens, 1));
    if (uncachedTokens >= MIN_NOTICE_TOKENS) {
      tokensBeyondNotice.updateAndGet(
          mean -> mean.plus(Math.max(0, maxTokens - uncachedTokens), 1));
    }
  }

  /** Records how long a request took at an engine that held a number of tokens with it. */
  void onEnded(long maxTokens, long heldTokens, long tookMs) {
    responseTime.updateAndGet(model -> model.plus(heldTokens, tookMs, maxTokens));
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

  /**
   * Returns the longest time to expect from sending a request to its end, at an engine that holds a
   * number of tokens with it.
   */
  long responseMs(long heldTokens) {
    return responseTime.get().longestMs(heldTokens);
  }
}
