package io.mothrill.core.forward.spending;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** The tokens that this instance can reserve immediately: its own and the rest of its loans. */
final class LocalTokens {

  private final SpendingState state;
  private final SpendingLoans loans;

  LocalTokens(SpendingState state, SpendingLoans loans) {
    this.state = state;
    this.loans = loans;
  }

  /** Returns how many tokens a request lacks beyond those available locally, but at least one. */
  long missingTokens(String team, long tokens) {
    long available =
        state.find(team).map(TeamSpending::availableTokens).orElse(0L)
            + loans.remainingTokens(team);
    return Math.max(1, tokens - available);
  }

  /** Reserves tokens if enough of them are available locally. */
  Optional<SpendingReservation> tryReserve(String team, long tokens) {
    return tryReserveOwn(team, tokens)
        .or(() -> tryReserveCombined(team, tokens))
        .map(LocalTokens::settleOnce);
  }

  /** Combines the available own tokens with the rest of the loans. */
  private Optional<SpendingReservation> tryReserveCombined(String team, long tokens) {
    return state
        .find(team)
        .filter(spending -> loans.remainingTokens(team) > 0)
        .flatMap(spending -> tryReserveCombined(spending, team, tokens));
  }

  private Optional<SpendingReservation> tryReserveCombined(
      TeamSpending spending, String team, long tokens) {
    ReservationBuilder builder = new ReservationBuilder(tokens);
    builder.addFrom(spending::reserveUpTo);
    loans.addTo(builder, team);
    return builder
        .tryBuild()
        .map(
            reservation -> {
              spending.recordRequestSize(tokens);
              return reservation;
            });
  }

  private Optional<SpendingReservation> tryReserveOwn(String team, long tokens) {
    return state
        .find(team)
        .filter(spending -> spending.tryReserve(tokens))
        .map(spending -> usedTokens -> spending.settle(tokens, usedTokens));
  }

  private static SpendingReservation settleOnce(SpendingReservation reservation) {
    AtomicBoolean settled = new AtomicBoolean();
    return usedTokens -> {
      if (settled.compareAndSet(false, true)) {
        reservation.settle(usedTokens);
      }
    };
  }
}
