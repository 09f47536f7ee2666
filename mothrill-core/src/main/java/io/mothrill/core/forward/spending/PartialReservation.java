package io.mothrill.core.forward.spending;

/**
 * A part of a request's tokens, reserved from one source.
 *
 * @param tokens the number of tokens
 * @param reservation settles this part, with at most this number of used tokens
 */
record PartialReservation(long tokens, SpendingReservation reservation) {

  /** The result of a source that has no tokens. */
  static final PartialReservation NONE = new PartialReservation(0, SpendingReservation.UNLIMITED);

  /** Returns all tokens of this part. */
  void cancel() {
    reservation.settle(0);
  }
}
