package io.mothrill.core.request;

/**
 * How requests are run.
 *
 * @param maxAttempts how often a request is sent in all
 * @param retryRatio retries per first try
 * @param stallMs how long an upstream may be silent
 * @param avoidMs how long an upstream that failed is avoided
 * @param finishWaitMs how long the end of an answer waits for its bill to be copied
 * @param keptAnswerBytes the largest answer that is kept for retries
 * @param recordWindowMs how long an answer is kept for retries
 * @param claimWindowMs how long it is remembered that a key has run; a retry that comes later runs
 *     again
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
   * Gives the settings that suit both deployments.
   *
   * @return three attempts, ten per cent of retries, keys remembered for ten minutes
   */
  public static RequestSettings standard() {
    return new RequestSettings(3, 0.1, 10_000, 2_000, 500, 256 * 1024, 600_000, 7_200_000);
  }
}
