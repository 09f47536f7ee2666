package io.mothrill.core.forward.contention;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates for each service how long an upstream works on a plain request that does not wait.
 *
 * <p>The estimate is a running 40 % quantile of the times to the whole response: slightly below the
 * median, because some requests have waited.
 */
public final class WorkTimes {

  private static final double QUANTILE = 0.4;

  /** Largest change of the estimate by one response, once there have been enough of them. */
  private static final double MIN_STEP = 0.05;

  private final Map<String, RunningQuantile> byService = new ConcurrentHashMap<>();

  /**
   * Moves up with each larger sample and down with each smaller one, in steps whose ratio keeps it
   * at the quantile. The size of a sample does not matter, so outliers have little effect.
   */
  private static final class RunningQuantile {
    private long count;
    private double value;

    synchronized void onSample(double sample) {
      count++;
      if (count == 1) {
        value = sample;
        return;
      }
      double step = Math.max(MIN_STEP, 1.0 / count);
      value *= sample > value ? 1 + QUANTILE * step : 1 - (1 - QUANTILE) * step;
    }

    synchronized double value() {
      return value;
    }
  }

  /** Records how long a request took, without the slowdown of the upstream's machine. */
  void onAnswered(String service, double tookMs) {
    byService
        .computeIfAbsent(service, unused -> new RunningQuantile())
        .onSample(Math.max(1, tookMs));
  }

  /**
   * Returns the estimated time of work for a plain request.
   *
   * @param service the service
   * @return milliseconds; empty before the first response
   */
  public OptionalDouble expectedMs(String service) {
    RunningQuantile quantile = byService.get(service);
    return quantile == null ? OptionalDouble.empty() : OptionalDouble.of(quantile.value());
  }
}
