package io.mothrill.core.platform;

/**
 * The steady clock of the platform's store, as known from its answers.
 *
 * <p>The true clock is never behind what this one says: an answer shows a time that is past when it
 * arrives, and from then on this instance's own steady clock is added, which stands still while the
 * instance is suspended.
 */
public interface StoreClock {

  /**
   * Reads the clock.
   *
   * @return milliseconds by the store's clock, the true ones or fewer
   */
  long nowMs();

  /**
   * Says what the clock can have shown at the most at an earlier moment, before the store's first
   * answer to this process.
   *
   * @param steadyMs the moment, by this instance's steady clock
   * @return milliseconds by the store's clock, the true ones or more
   */
  long upperBoundMs(long steadyMs);
}
