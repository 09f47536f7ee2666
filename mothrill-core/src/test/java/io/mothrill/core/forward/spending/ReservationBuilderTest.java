package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.platform.InstanceRecord;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Combining one request's reservation from several loans. */
class ReservationBuilderTest {

  private static final InstanceRecord LENDER =
      new InstanceRecord("konya-1", "konya-1", "konya", "10.0.0.1", 1, false);

  private final Loan first = new Loan(LENDER, 5_000);
  private final Loan second = new Loan(LENDER, 6_000);

  private Optional<SpendingReservation> reserve(long tokens) {
    ReservationBuilder pieces = new ReservationBuilder(tokens);
    pieces.addFrom(first::reserveUpTo);
    pieces.addFrom(second::reserveUpTo);
    return pieces.tryBuild();
  }

  @Test
  void takesOnlyMissingTokensFromTheNextSource() {
    assertThat(reserve(9_000)).isPresent();

    assertThat(first.remainingTokens()).isEqualTo(0);
    assertThat(second.remainingTokens()).isEqualTo(2_000);
  }

  // Guards against lost tokens: if all sources together have too few, the parts reserved so far
  // must be returned, or no later request can use them.
  @Test
  void cancelsAllPartsWhenTheyAreInsufficient() {
    assertThat(reserve(12_000)).isEmpty();

    assertThat(first.remainingTokens()).isEqualTo(5_000);
    assertThat(second.remainingTokens()).isEqualTo(6_000);
  }

  // Guards against tokens that are charged twice: a request uses fewer tokens than were reserved.
  // Each source, in order, is charged for what was used there and gets the rest back.
  @Test
  void chargesSourcesInOrder() {
    reserve(9_000).orElseThrow().settle(5_500);

    assertThat(first.remainingTokens()).isEqualTo(0);
    assertThat(second.remainingTokens()).isEqualTo(5_500);
  }

  @Test
  void loanIsSettledOnlyWhenNoTokensCanBeReturned() {
    SpendingReservation reservation = reserve(5_000).orElseThrow();
    assertThat(first.isSettled()).isFalse();

    reservation.settle(5_000);

    assertThat(first.isSettled()).isTrue();
    assertThat(second.isSettled()).isFalse();
  }
}
