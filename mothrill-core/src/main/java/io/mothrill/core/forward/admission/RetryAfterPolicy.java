package io.mothrill.core.forward.admission;

import java.util.random.RandomGenerator;

/**
 * Decides when refused callers retry, so that they do not return together.
 *
 * <pre>{@code
 * long waitMs = policy.untilSlotFreeMs(requestsAhead, completionsPerMs, remainingMs);
 * long spreadMs = policy.spreadMs(700, remainingMs);
 * }</pre>
 */
public final class RetryAfterPolicy {

  /** Shorter waits would return callers before the load reports have changed. */
  private static final long MIN_MS = 100;

  /** Rates are averages over half a second; they predict little beyond the next one. */
  private static final long MAX_MS = 1_000;

  /** Callers ignore longer waits than this part of their remaining time. */
  private static final int MAX_PART_OF_REMAINING = 3;

  private static final double JITTER = 0.5;

  private final RandomGenerator random;

  /**
   * Creates the policy.
   *
   * @param random spreads the times
   */
  public RetryAfterPolicy(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the time until a slot is probably free.
   *
   * <p>The jitter is up to half of the time. If the caller does not accept the time, it is drawn
   * from what the caller accepts with the same jitter.
   *
   * @param requestsAhead the requests that get a slot first, including recently refused ones
   * @param completionsPerMs the rate at which slots become free for this caller
   * @param remainingMs how long the caller still waits
   * @return the time, at most a third of the caller's remaining time
   */
  public long untilSlotFreeMs(double requestsAhead, double completionsPerMs, long remainingMs) {
    double acceptedMs = acceptedMs(remainingMs);
    double expectedMs =
        completionsPerMs > 0
            ? Math.min(MAX_MS, Math.max(MIN_MS, requestsAhead / completionsPerMs))
            : MAX_MS;
    double latestMs = Math.min(acceptedMs, expectedMs * (1 + JITTER));
    return drawMs(latestMs / (1 + JITTER), latestMs);
  }

  /**
   * Adds jitter to a time that must not become shorter.
   *
   * @param fixedMs the earliest time that makes sense
   * @param remainingMs how long the caller still waits
   * @return the time plus up to half, but not beyond a third of the caller's remaining time if the
   *     fixed time is within it
   */
  public long spreadMs(long fixedMs, long remainingMs) {
    double acceptedMs = acceptedMs(remainingMs);
    double latestMs = fixedMs * (1 + JITTER);
    return drawMs(fixedMs, fixedMs <= acceptedMs ? Math.min(acceptedMs, latestMs) : latestMs);
  }

  private static double acceptedMs(long remainingMs) {
    return Math.max(1, remainingMs / MAX_PART_OF_REMAINING);
  }

  private long drawMs(double earliestMs, double latestMs) {
    return (long) (earliestMs + (latestMs - earliestMs) * random.nextDouble());
  }
}
