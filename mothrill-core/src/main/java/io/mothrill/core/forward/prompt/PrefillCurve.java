package io.mothrill.core.forward.prompt;

import java.util.stream.IntStream;

/**
 * The time to the first event of one service by the number of tokens, as a line between points
 * whose lengths double.
 *
 * <p>Each point holds a running quantile of observed times. It lies below the median, because most
 * of the longer times contain a wait for other prompts.
 */
final class PrefillCurve {

  static final int POINT_COUNT = 8;

  /** The length of the first point. The latency of shorter prompts is mostly network and steps. */
  private static final double FIRST_TOKENS = 512;

  /** Used until prompts were observed; low, so that an engine is avoided rather too long. */
  private static final double INITIAL_TOKENS_PER_MS = 40;

  private static final double QUANTILE = 0.4;

  /** The points whose difference shows the time per token: 1,024 and 8,192 tokens. */
  private static final int NEAR_POINT = 1;

  private static final int FAR_POINT = 4;

  /** Faster than any known engine; keeps the estimate above 0 if the points are equal. */
  private static final double MAX_TOKENS_PER_MS = 400;

  /** Largest relative change by one of many observations; 20 to 40 of them follow a change of 2. */
  private static final double MIN_GAIN = 0.05;

  private final double[] learnedMs =
      IntStream.range(0, POINT_COUNT).mapToDouble(PrefillCurve::initialMs).toArray();
  private final double[] observationCount = new double[POINT_COUNT];
  private volatile double[] pointsMs = learnedMs.clone();

  private static double tokensAt(int point) {
    return FIRST_TOKENS * (1 << point);
  }

  private static double initialMs(int point) {
    return tokensAt(point) / INITIAL_TOKENS_PER_MS;
  }

  /** Returns the last point that is not longer than a prompt, or the first one. */
  static int pointFor(double tokens) {
    int doublings = Math.getExponent(Math.max(1, tokens / FIRST_TOKENS));
    return Math.min(POINT_COUNT - 1, doublings);
  }

  double firstEventMs(double tokens) {
    return interpolate(pointsMs, tokens);
  }

  /**
   * Estimates the time without the part that does not depend on the length: network and the steps
   * of the first event. During that part the engine serves other requests.
   */
  double prefillMs(double tokens) {
    double[] currentMs = pointsMs;
    double nearTokens = tokensAt(NEAR_POINT);
    double differenceMs = currentMs[FAR_POINT] - currentMs[NEAR_POINT];
    double msPerToken =
        Math.max(1 / MAX_TOKENS_PER_MS, differenceMs / (tokensAt(FAR_POINT) - nearTokens));
    double constantMs = Math.max(0, currentMs[NEAR_POINT] - nearTokens * msPerToken);
    double totalMs = interpolate(currentMs, tokens);
    return constantMs == 0
        ? totalMs
        : Math.max(totalMs - constantMs, Math.max(0, tokens) * msPerToken);
  }

  private static double interpolate(double[] pointsMs, double tokens) {
    int point = pointFor(tokens);
    if (tokens < FIRST_TOKENS || point == POINT_COUNT - 1) {
      return pointsMs[point] * Math.max(0, tokens) / tokensAt(point);
    }
    double position = positionAfter(point, tokens);
    return pointsMs[point] * (1 - position) + pointsMs[point + 1] * position;
  }

  /** Returns the position between a point and the next one, from 0 to 1. */
  private static double positionAfter(int point, double tokens) {
    return tokens / tokensAt(point) - 1;
  }

  synchronized void observe(double tokens, double tookMs) {
    if (tokens < FIRST_TOKENS) {
      return;
    }
    double ratio = Math.max(1, tookMs) / interpolate(pointsMs, tokens);
    int point = pointFor(tokens);
    double position = point == POINT_COUNT - 1 ? 0 : positionAfter(point, tokens);
    adjust(point, 1 - position, ratio);
    if (position > 0) {
      adjust(point + 1, position, ratio);
    }
    pointsMs = complete();
  }

  private void adjust(int point, double weight, double ratio) {
    double gain = weight * Math.max(MIN_GAIN, 1 / (1 + observationCount[point]));
    double factor =
        ratio > 1
            ? Math.min(ratio, 1 + QUANTILE * gain)
            : Math.max(ratio, 1 - (1 - QUANTILE) * gain);
    learnedMs[point] = pointsMs[point] * factor;
    observationCount[point] += weight;
  }

  /**
   * Fills in points without observations: at least as fast per token as the next longer one, and
   * nowhere less time than for fewer tokens. Longer ones are not derived from shorter ones, as
   * prefill time grows faster than the length.
   */
  private double[] complete() {
    double[] completeMs = learnedMs.clone();
    for (int point = POINT_COUNT - 2; point >= 0; point--) {
      if (observationCount[point] == 0) {
        completeMs[point] = Math.min(initialMs(point), completeMs[point + 1] / 2);
      }
    }
    for (int point = 1; point < POINT_COUNT; point++) {
      completeMs[point] = Math.max(completeMs[point], completeMs[point - 1]);
    }
    return completeMs;
  }
}
