package io.mothrill.core.budget;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.Fault;
import org.junit.jupiter.api.Test;

class AllotmentsTest {

  private final BudgetBench bench = new BudgetBench("konya-1");

  // The platform grants tokens, but its answer is lost. The instance must find them when it asks
  // again, and must not count them twice.
  @Test
  void countsGrantOnceWhenItsAnswerWasLost() {
    // GIVEN
    bench.pay(100_000);
    bench.way.fail(Fault.ANSWER_LOST);
    var lost = bench.account().reserve(100);
    assertThat(lost.isCompletedExceptionally()).isTrue();
    // WHEN
    bench.way.fail(Fault.NONE);
    Reservation reservation = bench.account().reserve(100).join();
    // THEN
    long inHandTokens = bench.account().availableTokens() + reservation.tokens();
    assertThat(inHandTokens).isEqualTo(bench.allotmentRow().grantedTokens());
    assertThat(bench.budgetRow().allottedTokens()).isEqualTo(inHandTokens);
  }

  // Tokens are given back, but the answer is lost. Put back into the pool at once, they could be
  // held here and granted to another instance. They stay out until the row has told.
  @Test
  void holdsNoTokenTwiceWhenTheAnswerToReturnWasLost() {
    // GIVEN
    bench.pay(100_000);
    bench.account().reserve(100).join().release();
    bench.way.fail(Fault.ANSWER_LOST);
    // WHEN
    var returned = bench.budgets.returnAll();
    assertThat(returned.isCompletedExceptionally()).isTrue();
    bench.way.fail(Fault.NONE);
    Reservation reservation = bench.account().reserve(100).join();
    // THEN
    long inHandTokens = bench.account().availableTokens() + reservation.tokens();
    assertThat(inHandTokens).isEqualTo(bench.budgetRow().allottedTokens());
    assertThat(inHandTokens).isGreaterThan(100);
  }

  @Test
  void returnsWhatAnIdleAccountDoesNotNeed() {
    // GIVEN
    bench.pay(100_000);
    bench.account().reserve(100).join().release();
    // WHEN
    bench.timers.advanceMs(600_000);
    // THEN
    assertThat(bench.budgetRow().allottedTokens()).isEqualTo(bench.account().availableTokens());
    assertThat(bench.account().availableTokens()).isLessThan(100);
  }

  @Test
  void holdsAtMostShareOfWhatIsLeftHoweverOftenItIsRefilled() {
    // GIVEN
    bench.pay(20_000);
    // WHEN
    for (int call = 0; call < 100; call++) {
      bench.account().reserve(10).join().release();
      bench.timers.advanceMs(1_000);
    }
    // THEN
    assertThat(bench.account().availableTokens()).isAtMost(20_000 / 4);
  }
}
