package io.mothrill.core.forward.spending;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Puts together what one request needs from several places.
 *
 * <pre>{@code
 * SpendingPieces pieces = new SpendingPieces(9_000);
 * pieces.addFrom(spending::reserveUpTo);   // 5,000 are left there
 * pieces.addFrom(loan::reserveUpTo);       // and 6,000 here, of which 4,000 are taken
 * Optional<SpendingReservation> whole = pieces.whole();
 * }</pre>
 */
final class ReservationBuilder {

  private final List<PartialReservation> parts = new ArrayList<>();
  private long missingTokens;

  ReservationBuilder(long tokens) {
    this.missingTokens = tokens;
  }

  /** Adds what a place has of the tokens that are still missing. */
  void addFrom(LongFunction<PartialReservation> source) {
    if (missingTokens > 0) {
      PartialReservation part = source.apply(missingTokens);
      missingTokens -= part.tokens();
      parts.add(part);
    }
  }

  long missingTokens() {
    return missingTokens;
  }

  /** Gives the whole, or hands all pieces back if it is less than was asked for. */
  Optional<SpendingReservation> tryBuild() {
    if (missingTokens > 0) {
      parts.forEach(PartialReservation::cancel);
      return Optional.empty();
    }
    return Optional.of(this::settle);
  }

  private void settle(long usedTokens) {
    long left = usedTokens;
    for (PartialReservation part : parts) {
      long usedHere = Math.min(left, part.tokens());
      part.reservation().settle(usedHere);
      left -= usedHere;
    }
  }
}
