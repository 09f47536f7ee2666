package io.mothrill.core.forward.prompt;

import java.util.Arrays;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/**
 * Estimates the prefill time that all instances request of one service, by class of prompts.
 *
 * <p>Instances send notices of long prompts only. Counting all prompts alike would therefore take
 * the short prompts of one instance and the long ones of all. For lengths of which no notices
 * arrive, be they too short or lost, the own prompts count once for each instance instead.
 */
final class PromptDemand {

  private static final double HALF_LIFE_MS = 20_000;

  /**
   * How much prefill time counts if the time in slots counts once. Counted alike, engines of long
   * prompts prefilled several of them in a row, which pauses the streams there.
   */
  private static final double PREFILL_WEIGHT = 3;

  /** Less than this is left of a single long prompt after about three minutes. */
  private static final double MIN_DEMAND_MS = 1;

  /**
   * Notices arrive for a length if they bring at least this share of what the other instances would
   * have sent, were they like this one. Low, as a single instance sees few long prompts.
   */
  private static final double COVERED_SHARE = 0.25;

  /**
   * A notice contains the tokens that are not cached rather than the length of the prompt, so its
   * class is less certain than that of an own prompt with as many tokens to prefill.
   */
  private static final double NOTICE_CLASS_WEIGHT = 0.25;

  private final Table own = new Table();
  private final Table noticed = new Table();
  private final double[] heldMs = new double[PromptClass.COUNT];
  private long decayedAtMs;

  PromptDemand(long nowMs) {
    this.decayedAtMs = nowMs;
  }

  /** Prefill time by class and by number of uncached tokens. */
  private static final class Table {
    private final double[][] prefillMs = new double[PromptClass.COUNT][PrefillCurve.POINT_COUNT];

    void add(PromptClass promptClass, double tokens, double timeMs) {
      prefillMs[promptClass.ordinal()][PrefillCurve.pointFor(tokens)] += timeMs;
    }

    void scale(double factor) {
      for (double[] row : prefillMs) {
        IntStream.range(0, row.length).forEach(length -> row[length] *= factor);
      }
    }

    double at(int promptClass, int length) {
      return prefillMs[promptClass][length];
    }

    double totalAt(int length) {
      return DoubleStream.of(prefillMs[0][length], prefillMs[1][length], prefillMs[2][length])
          .sum();
    }
  }

  synchronized void onSent(PromptClass promptClass, double uncachedTokens, double prefillMs) {
    own.add(promptClass, uncachedTokens, prefillMs);
  }

  synchronized void onNotice(PromptClass promptClass, double uncachedTokens, double prefillMs) {
    noticed.add(promptClass, uncachedTokens, prefillMs);
  }

  /** Records for how long an own prompt held a slot of its engine. */
  synchronized void onEnded(PromptClass promptClass, double slotMs) {
    heldMs[promptClass.ordinal()] += slotMs;
  }

  synchronized void decay(long nowMs) {
    double factor = Math.pow(0.5, (nowMs - decayedAtMs) / HALF_LIFE_MS);
    own.scale(factor);
    noticed.scale(factor);
    Arrays.setAll(heldMs, one -> heldMs[one] * factor);
    decayedAtMs = nowMs;
  }

  /**
   * Estimates the shares of the classes.
   *
   * <p>An engine is full when it has no time left to prefill or no slot. Short prompts take little
   * prefill time and many slots, so by prefill time alone their engines would have more requests
   * than slots. Both shares therefore count.
   *
   * @param instanceCount the number of instances whose notices reach this one, including itself
   * @return the shares
   */
  synchronized DemandShares shares(int instanceCount) {
    double[] totalsMs = new double[PromptClass.COUNT];
    for (int length = 0; length < PrefillCurve.POINT_COUNT; length++) {
      addLength(totalsMs, length, instanceCount);
    }
    return new DemandShares(withoutTraces(totalsMs))
        .averagedWith(new DemandShares(withoutTraces(heldMs)), PREFILL_WEIGHT);
  }

  private static double[] withoutTraces(double[] timesMs) {
    return DoubleStream.of(timesMs).map(timeMs -> timeMs < MIN_DEMAND_MS ? 0 : timeMs).toArray();
  }

  private void addLength(double[] totalsMs, int length, int instanceCount) {
    double ownMs = own.totalAt(length);
    double noticedMs = noticed.totalAt(length);
    boolean covered = noticedMs >= COVERED_SHARE * ownMs * (instanceCount - 1);
    double timeMs = covered ? ownMs + noticedMs : ownMs * instanceCount;
    double noticeWeight = NOTICE_CLASS_WEIGHT / instanceCount;
    double weightSum = ownMs + noticeWeight * noticedMs;
    if (weightSum > 0) {
      for (int i = 0; i < totalsMs.length; i++) {
        double weight = own.at(i, length) + noticeWeight * noticed.at(i, length);
        totalsMs[i] += timeMs * weight / weightSum;
      }
    }
  }
}
