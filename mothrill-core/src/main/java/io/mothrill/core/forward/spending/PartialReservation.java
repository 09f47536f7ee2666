package io.mothrill.core.forward.spending;

/**
 * A part of what one request needs, set aside at one place.
 *
 * @param tokens how many
 * @param reservation ends it; to be told at most as many used tokens
 */
record PartialReservation(long tokens, SpendingReservation reservation) {

  /** A place that has nothing. */
  static final PartialReservation NONE = new PartialReservation(0, SpendingReservation.UNLIMITED);

  /** Gives all back. */
  void cancel() {
    reservation.settle(0);
  }
}
