package io.mothrill.core.forward.capacity;

/**
 * The time from sending a request to its end, by the tokens that its engine holds; a weighted
 * linear regression over about the last 64 requests; immutable.
 *
 * <p>A plain average is too short exactly where it matters: an engine that is nearly full takes
 * several times longer than an empty one, because each prompt waits for those before it.
 */
record ResponseTimeModel(
    double weight,
    double heldSum,
    double timeSum,
    double heldSquareSum,
    double timeSquareSum,
    double heldTimeSum) {

  /** Factor applied to earlier observations for each later one. */
  private static final double DECAY = 63.0 / 64;

  /**
   * The standard deviations added to the expected time. The request goes to the engine that is
   * believed to hold the least, often because requests there take longer than expected: with the
   * expected time alone, 25 instances with long prompts filled engines half beyond their memory.
   */
  private static final double DEVIATIONS = 3;

  /** The initial time at an empty engine. */
  private static final double INITIAL_MS = 500;

  /** The initial prefill speed, as in {@code PrefillSpeed}: low, so that estimates are too long. */
  private static final double INITIAL_TOKENS_PER_MS = 40;

  /** The initial expectation counts like one request of this size to an engine with that many. */
  private static final double INITIAL_HELD_TOKENS = 100_000;

  private static final double INITIAL_WEIGHT = 5_000;

  /** The model before any request has ended; its observations never decay. */
  static ResponseTimeModel initial() {
    return new ResponseTimeModel(0, 0, 0, 0, 0, 0);
  }

  /**
   * Adds an observation. It is weighted by the tokens of the request: the responses to long prompts
   * take longer than the others and hold most of the memory.
   */
  ResponseTimeModel plus(double heldTokens, double tookMs, double requestTokens) {
    return decayed(DECAY).observed(heldTokens, tookMs, Math.max(1, requestTokens));
  }

  /** Returns the longest time to expect at an engine that holds a number of tokens. */
  long longestMs(double heldTokens) {
    ResponseTimeModel all =
        observed(0, INITIAL_MS, INITIAL_WEIGHT)
            .observed(
                INITIAL_HELD_TOKENS,
                INITIAL_MS + INITIAL_HELD_TOKENS / INITIAL_TOKENS_PER_MS,
                INITIAL_WEIGHT);
    double meanHeld = all.heldSum / all.weight;
    double meanMs = all.timeSum / all.weight;
    double variance = all.heldSquareSum / all.weight - meanHeld * meanHeld;
    double varianceMs = all.timeSquareSum / all.weight - meanMs * meanMs;
    double covariance = all.heldTimeSum / all.weight - meanHeld * meanMs;
    double msPerToken = Math.max(0, covariance / variance);
    double deviationMs = Math.sqrt(Math.max(0, varianceMs - msPerToken * covariance));
    double expectedMs = meanMs + msPerToken * (heldTokens - meanHeld);
    return Math.max(1, Math.round(expectedMs + DEVIATIONS * deviationMs));
  }

  private ResponseTimeModel observed(double heldTokens, double tookMs, double by) {
    return new ResponseTimeModel(
        weight + by,
        heldSum + by * heldTokens,
        timeSum + by * tookMs,
        heldSquareSum + by * heldTokens * heldTokens,
        timeSquareSum + by * tookMs * tookMs,
        heldTimeSum + by * heldTokens * tookMs);
  }

  private ResponseTimeModel decayed(double factor) {
    return new ResponseTimeModel(
        weight * factor,
        heldSum * factor,
        timeSum * factor,
        heldSquareSum * factor,
        timeSquareSum * factor,
        heldTimeSum * factor);
  }
}
