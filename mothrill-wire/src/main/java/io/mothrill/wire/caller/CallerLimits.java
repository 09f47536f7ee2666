package io.mothrill.wire.caller;

/**
 * The resource limits of one caller connection.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param sendStallMs how long receiving a request may take
 * @param readStallMs how long a caller may read nothing while response data is pending
 */
public record CallerLimits(int maxBodyBytes, long sendStallMs, long readStallMs) {

  /**
   * Returns the default limits.
   *
   * @return 8 MB, 10 seconds and 30 seconds
   */
  public static CallerLimits standard() {
    return new CallerLimits(8 * 1024 * 1024, 10_000, 30_000);
  }
}
