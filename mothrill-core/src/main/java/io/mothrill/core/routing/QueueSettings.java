package io.mothrill.core.routing;

/**
 * Settings of the queues of calls that wait for an upstream.
 *
 * @param urgentWaitMs the longest time that an urgent call may wait
 * @param batchWaitMs the longest time that a batch call may wait
 * @param batchAgingMs the time after which a queued batch call may use slots reserved for urgent
 *     calls
 */
public record QueueSettings(long urgentWaitMs, long batchWaitMs, long batchAgingMs) {

  /**
   * Returns the default settings for both deployments.
   *
   * @return five seconds for urgent calls, two minutes for batch calls, aging after thirty seconds
   */
  public static QueueSettings standard() {
    return new QueueSettings(5_000, 120_000, 30_000);
  }
}
