package io.mothrill.core.request;

/**
 * Settings of the processing of requests.
 *
 * @param maxAttempts the maximum number of attempts of a request
 * @param retryRatio the number of retries allowed per first attempt
 * @param stallMs the longest time for which an upstream may send nothing
 * @param avoidMs the time for which an upstream that failed is avoided
 * @param finishWaitMs the longest time for which the end of an answer is delayed until its bill is
 *     copied
 * @param keptAnswerBytes the size of the largest answer that is stored for retries
 * @param recordWindowMs the retention of an answer for retries
 * @param claimWindowMs the retention of the fact that a key has run; a later retry runs again
 */
public record RequestSettings(
    int maxAttempts,
    double retryRatio,
    long stallMs,
    long avoidMs,
    long finishWaitMs,
    int keptAnswerBytes,
    long recordWindowMs,
    long claimWindowMs) {

  /**
   * Returns the default settings for both deployments.
   *
   * @return three attempts, ten per cent of retries, answers stored for ten minutes, keys
   *     remembered for two hours
   */
  public static RequestSettings standard() {
    return new RequestSettings(3, 0.1, 10_000, 2_000, 500, 256 * 1024, 600_000, 7_200_000);
  }
}
