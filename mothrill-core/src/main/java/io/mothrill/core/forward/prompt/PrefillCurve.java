package io.mothrill.core.forward.prompt;

import java.util.stream.IntStream;

/**
 * The prefill time of one service by the number of tokens, as a line between points whose lengths
 * double.
 *
 * <p>Each point holds a running quantile of observed times. It lies below the median, because most
 * of the longer times contain a wait for other prompts.
 */
final class PrefillCurve {

  static final int POINT_COUNT = 8;

  /**
   * The length of the first point. The latency of shorter prompts is mostly network and steps,
   * which is subtracted from the times of longer ones: it delays nobody else at the engine.
   */
  private static final double FIRST_TOKENS = 512;

  /** Used until prompts were observed; low, so that an engine is avoided rather too long. */
  private static final double INITIAL_TOKENS_PER_MS = 40;

  private static final double QUANTILE = 0.4;

  /** Largest relative change by one of many observations; 20 to 40 of them follow a change of 2. */
  private static final double MIN_GAIN = 0.05;

  private final double[] learnedMs =
      IntStream.range(0, POINT_COUNT).mapToDouble(PrefillCurve::initialMs).toArray();
  private final double[] observationCount = new double[POINT_COUNT];
  private volatile double[] pointsMs = learnedMs.clone();
  private volatile double baseMs;
  private double baseCount;

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

  double prefillMs(double tokens) {
    return interpolate(pointsMs, tokens);
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

  /** Returns the time that every first event takes: the network and the steps of the engine. */
  double baseMs() {
    return baseMs;
  }

  synchronized void observe(double tokens, double tookMs) {
    if (tokens < FIRST_TOKENS) {
      observeBase(tookMs);
      return;
    }
    double ratio = Math.max(1, tookMs - baseMs) / interpolate(pointsMs, tokens);
    int point = pointFor(tokens);
    double position = point == POINT_COUNT - 1 ? 0 : positionAfter(point, tokens);
    adjust(point, 1 - position, ratio);
    if (position > 0) {
      adjust(point + 1, position, ratio);
    }
    pointsMs = complete();
  }

  private void observeBase(double tookMs) {
    double gain = Math.max(MIN_GAIN, 1 / (1 + baseCount));
    baseMs =
        tookMs > baseMs
            ? Math.min(tookMs, baseMs + QUANTILE * gain * tookMs)
            : Math.max(tookMs, baseMs - (1 - QUANTILE) * gain * baseMs);
    baseCount++;
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
