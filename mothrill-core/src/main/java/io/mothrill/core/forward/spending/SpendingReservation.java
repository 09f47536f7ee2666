package io.mothrill.core.forward.spending;

/** Tokens that are set aside for one request, until it is settled. */
@FunctionalInterface
public interface SpendingReservation {

  /** A reservation for requests that nothing limits. */
  SpendingReservation UNLIMITED = usedTokens -> {};

  /**
   * Ends the reservation; calling it again has no effect.
   *
   * @param usedTokens what is owed; the rest goes back
   */
  void settle(long usedTokens);
}
