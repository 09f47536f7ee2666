package io.mothrill.core.routing;

/**
 * How calls wait for an upstream.
 *
 * @param urgentWaitMs how long an urgent call may wait
 * @param batchWaitMs how long a batch call may wait
 * @param batchAgingMs how long a batch call waits before it may use slots kept for urgent ones
 */
public record QueueSettings(long urgentWaitMs, long batchWaitMs, long batchAgingMs) {

  /**
   * Gives the settings that suit both deployments.
   *
   * @return five seconds for urgent calls, two minutes for batch
   */
  public static QueueSettings standard() {
    return new QueueSettings(5_000, 120_000, 30_000);
  }
}
