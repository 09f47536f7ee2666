package io.mothrill.core.drain;

/**
 * How long the stages of a drain take.
 *
 * @param announceMs how long the balancer needs to notice that readiness fails
 * @param finishMs how long requests under way may take; at least the longest request's timeout
 * @param handOverMs how long the hand-over may take, for example while the platform is down
 */
public record DrainSettings(long announceMs, long finishMs, long handOverMs) {

  /**
   * Gives the settings that suit both deployments.
   *
   * @return three seconds, ten minutes, ten seconds
   */
  public static DrainSettings standard() {
    return new DrainSettings(3_000, 600_000, 10_000);
  }
}
