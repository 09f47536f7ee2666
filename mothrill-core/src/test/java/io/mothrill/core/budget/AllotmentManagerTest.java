package io.mothrill.core.budget;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.Fault;
import org.junit.jupiter.api.Test;

class AllotmentManagerTest {

  private final BudgetFixture fixture = new BudgetFixture("konya-1");

  // Guards against counting a grant twice, or losing it, when the response of the platform was
  // lost: the next request must find the granted tokens.
  @Test
  void countsGrantOnceWhenItsResponseWasLost() {
    // GIVEN
    fixture.topUp(100_000);
    fixture.platformCalls.setFault(Fault.ANSWER_LOST);
    var lost = fixture.account().reserve(100);
    assertThat(lost.isCompletedExceptionally()).isTrue();
    // WHEN
    fixture.platformCalls.setFault(Fault.NONE);
    Reservation reservation = fixture.account().reserve(100).join();
    // THEN
    long inHandTokens = fixture.account().availableTokens() + reservation.tokens();
    assertThat(inHandTokens).isEqualTo(fixture.allotmentRow().grantedTokens());
    assertThat(fixture.budgetRow().allottedTokens()).isEqualTo(inHandTokens);
  }

  // Guards against holding tokens twice when the response to a return was lost: if they were added
  // back to the pool at once, they could be held here and granted to another instance. They stay
  // out of the pool until the row shows the outcome.
  @Test
  void holdsNoTokenTwiceWhenTheResponseToReturnWasLost() {
    // GIVEN
    fixture.topUp(100_000);
    fixture.account().reserve(100).join().release();
    fixture.platformCalls.setFault(Fault.ANSWER_LOST);
    // WHEN
    var returned = fixture.budgets.returnAll();
    assertThat(returned.isCompletedExceptionally()).isTrue();
    fixture.platformCalls.setFault(Fault.NONE);
    Reservation reservation = fixture.account().reserve(100).join();
    // THEN
    long inHandTokens = fixture.account().availableTokens() + reservation.tokens();
    assertThat(inHandTokens).isEqualTo(fixture.budgetRow().allottedTokens());
    assertThat(inHandTokens).isGreaterThan(100);
  }

  @Test
  void returnsSurplusOfIdleAccount() {
    // GIVEN
    fixture.topUp(100_000);
    fixture.account().reserve(100).join().release();
    // WHEN
    fixture.timers.advanceMs(600_000);
    // THEN
    assertThat(fixture.budgetRow().allottedTokens()).isEqualTo(fixture.account().availableTokens());
    assertThat(fixture.account().availableTokens()).isLessThan(100);
  }

  @Test
  void holdsAtMostShareOfRemainingTokensAfterManyRefills() {
    // GIVEN
    fixture.topUp(20_000);
    // WHEN
    for (int call = 0; call < 100; call++) {
      fixture.account().reserve(10).join().release();
      fixture.timers.advanceMs(1_000);
    }
    // THEN
    assertThat(fixture.account().availableTokens()).isAtMost(20_000 / 4);
  }
}
