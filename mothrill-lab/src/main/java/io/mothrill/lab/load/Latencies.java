package io.mothrill.lab.load;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/**
 * Latency percentiles of a set of calls.
 *
 * @param count the number of calls
 * @param p50Ms the median
 * @param p99Ms the 99th percentile
 * @param p999Ms the 99.9th percentile
 * @param maxMs the maximum
 */
public record Latencies(long count, double p50Ms, double p99Ms, double p999Ms, double maxMs) {

  private static final double MICROS_PER_MS = 1_000;
  private static final int DIGITS = 3;

  /**
   * Computes the percentiles of a set of calls.
   *
   * @param results the results of the calls
   * @param latencyMs returns the latency of a result
   * @return the percentiles
   */
  public static Latencies of(
      Collection<CallResult> results, ToDoubleFunction<CallResult> latencyMs) {
    Histogram histogram = new Histogram(DIGITS);
    results.forEach(
        result ->
            histogram.recordValue(
                Math.max(0, (long) (latencyMs.applyAsDouble(result) * MICROS_PER_MS))));
    return new Latencies(
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / MICROS_PER_MS,
        histogram.getValueAtPercentile(99) / MICROS_PER_MS,
        histogram.getValueAtPercentile(99.9) / MICROS_PER_MS,
        histogram.getMaxValue() / MICROS_PER_MS);
  }

  @Override
  public String toString() {
    return String.format(
        "n=%d p50=%.1fms p99=%.1fms p99.9=%.1fms max=%.1fms", count, p50Ms, p99Ms, p999Ms, maxMs);
  }
}
