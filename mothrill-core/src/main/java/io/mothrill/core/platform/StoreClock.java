package io.mothrill.core.platform;

/**
 * An estimate of the monotonic clock of the platform's store, derived from its responses.
 *
 * <p>The estimate is never ahead of the store's clock: a response carries a time that has passed by
 * the time it arrives, and afterwards only this instance's monotonic clock is added, which does not
 * advance while the instance is suspended.
 */
public interface StoreClock {

  /**
   * Returns a lower bound of the store's clock.
   *
   * @return milliseconds on the store's clock, never more than the actual time; 0 before the first
   *     response
   */
  long nowMs();

  /**
   * Returns an upper bound of the store's clock at a moment before the store's first response to
   * this process.
   *
   * @param monotonicMs the moment, on this instance's monotonic clock
   * @return milliseconds on the store's clock, never less than the actual time
   */
  long upperBoundMs(long monotonicMs);
}
