package io.mothrill.wire.caller;

/**
 * What one caller may take up.
 *
 * @param maxBodyBytes the largest request body
 * @param sendStallMs how long a request may take to arrive
 * @param readStallMs how long a caller may read nothing while an answer waits for it
 */
public record CallerLimits(int maxBodyBytes, long sendStallMs, long readStallMs) {

  /**
   * Gives the limits that suit both deployments.
   *
   * @return eight megabytes, ten seconds, thirty seconds
   */
  public static CallerLimits standard() {
    return new CallerLimits(8 * 1024 * 1024, 10_000, 30_000);
  }
}
