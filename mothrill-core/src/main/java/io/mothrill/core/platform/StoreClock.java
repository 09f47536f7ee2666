package io.mothrill.core.platform;

/**
 * The steady clock of the platform's store, as known from its answers.
 *
 * <p>The true clock is never behind what this one says: an answer shows a time that is past when it
 * arrives, and from then on this instance's own steady clock is added, which stands still while the
 * instance is suspended.
 */
@FunctionalInterface
public interface StoreClock {

  /**
   * Reads the clock.
   *
   * @return milliseconds by the store's clock, the true ones or fewer
   */
  long nowMs();
}
