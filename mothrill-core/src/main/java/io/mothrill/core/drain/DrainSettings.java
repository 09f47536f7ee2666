package io.mothrill.core.drain;

/**
 * The durations of the stages of a drain.
 *
 * @param announceMs the time that the load balancer needs to notice that readiness fails
 * @param finishMs the longest time for requests in flight to end; at least the timeout of the
 *     longest request
 * @param handOverMs the longest time for the hand-over, for example while the platform is
 *     unreachable
 */
public record DrainSettings(long announceMs, long finishMs, long handOverMs) {

  /**
   * Returns the default settings for both deployments.
   *
   * @return three seconds, ten minutes, ten seconds
   */
  public static DrainSettings standard() {
    return new DrainSettings(3_000, 600_000, 10_000);
  }
}
