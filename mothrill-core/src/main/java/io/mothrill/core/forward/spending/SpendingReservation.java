package io.mothrill.core.forward.spending;

/** Tokens that are reserved for one request until it is settled. */
@FunctionalInterface
public interface SpendingReservation {

  /** A reservation for requests without a budget. */
  SpendingReservation UNLIMITED = usedTokens -> {};

  /**
   * Settles the reservation; further calls have no effect.
   *
   * @param usedTokens the tokens to charge; the rest is returned
   */
  void settle(long usedTokens);
}
