package io.mothrill.core.forward.spending;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Combines one request's reservation from several sources.
 *
 * <pre>{@code
 * ReservationBuilder builder = new ReservationBuilder(9_000);
 * builder.addFrom(spending::reserveUpTo);   // 5,000 are available there
 * builder.addFrom(loan::reserveUpTo);       // 4,000 of the 6,000 here are reserved
 * Optional<SpendingReservation> reservation = builder.tryBuild();
 * }</pre>
 */
final class ReservationBuilder {

  private final List<PartialReservation> parts = new ArrayList<>();
  private long missingTokens;

  ReservationBuilder(long tokens) {
    this.missingTokens = tokens;
  }

  /** Reserves the tokens that are still missing from a source, as far as it has them. */
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

  /** Returns the complete reservation, or cancels all parts if they are fewer than requested. */
  Optional<SpendingReservation> tryBuild() {
    if (missingTokens > 0) {
      parts.forEach(PartialReservation::cancel);
      return Optional.empty();
    }
    return Optional.of(this::settle);
  }

  private void settle(long usedTokens) {
    long remainingTokens = usedTokens;
    for (PartialReservation part : parts) {
      long usedHere = Math.min(remainingTokens, part.tokens());
      part.reservation().settle(usedHere);
      remainingTokens -= usedHere;
    }
  }
}
