package io.mothrill.core.forward.spending;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** The tokens that this instance can set aside at once: its own and what is left of loans. */
final class ReadyTokens {

  private final SpendingRows rows;
  private final SpendingLoans loans;

  ReadyTokens(SpendingRows rows, SpendingLoans loans) {
    this.rows = rows;
    this.loans = loans;
  }

  /** Gives what one request lacks beside them, one token at least. */
  long lackingTokens(String team, long tokens) {
    long here = rows.find(team).map(TeamSpending::freeTokens).orElse(0L) + loans.leftTokens(team);
    return Math.max(1, tokens - here);
  }

  /** Sets tokens aside if enough of them are ready. */
  Optional<SpendingReservation> tryReserve(String team, long tokens) {
    return tryOwn(team, tokens).or(() -> tryPieces(team, tokens)).map(ReadyTokens::once);
  }

  /** Puts together what is left here and what is left of loans. */
  private Optional<SpendingReservation> tryPieces(String team, long tokens) {
    return rows.find(team)
        .filter(spending -> loans.leftTokens(team) > 0)
        .flatMap(spending -> tryPieces(spending, team, tokens));
  }

  private Optional<SpendingReservation> tryPieces(TeamSpending spending, String team, long tokens) {
    SpendingPieces pieces = new SpendingPieces(tokens);
    pieces.addFrom(spending::reserveUpTo);
    loans.addTo(pieces, team);
    return pieces
        .whole()
        .map(
            whole -> {
              spending.noteSize(tokens);
              return whole;
            });
  }

  private Optional<SpendingReservation> tryOwn(String team, long tokens) {
    return rows.find(team)
        .filter(spending -> spending.tryReserve(tokens))
        .map(spending -> usedTokens -> spending.settle(tokens, usedTokens));
  }

  private static SpendingReservation once(SpendingReservation reservation) {
    AtomicBoolean settled = new AtomicBoolean();
    return usedTokens -> {
      if (settled.compareAndSet(false, true)) {
        reservation.settle(usedTokens);
      }
    };
  }
}
