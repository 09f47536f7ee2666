package io.mothrill.core.budget;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.core.budget.error.BudgetException;
import io.mothrill.core.error.Failures;
import io.mothrill.core.fake.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class BudgetAccountReserveTest {

  private final BudgetFixture fixture = new BudgetFixture("konya-1");

  @Test
  void requestsTokensFromThePlatformAndReturnsUnusedOnes() {
    // GIVEN
    fixture.topUp(10_000);
    // WHEN
    Reservation reservation = fixture.account().reserve(100).join();
    long heldTokens = fixture.account().availableTokens();
    var owed = reservation.settle(30);
    // THEN
    assertThat(owed).containsExactly(new BillPart(fixture.allotment(), 30));
    assertThat(fixture.account().availableTokens()).isEqualTo(heldTokens + 70);
    assertThat(fixture.allotmentRow().grantedTokens()).isEqualTo(heldTokens + 100);
  }

  @Test
  void isRefusedAsExhaustedWhenTheBudgetHasTooFewTokens() {
    // GIVEN
    fixture.topUp(99);
    // WHEN
    CompletableFuture<Reservation> refused = fixture.account().reserve(100);
    // THEN
    assertThat(errorOf(refused).isExhausted()).isTrue();
    assertThat(fixture.account().reserve(99).join().tokens()).isEqualTo(99);
  }

  @Test
  void isRefusedAsOutOfReachWhenThePlatformIsUnreachable() {
    // GIVEN
    fixture.topUp(10_000);
    fixture.platformCalls.setFault(Fault.DOWN);
    // WHEN
    CompletableFuture<Reservation> refused = fixture.account().reserve(100);
    // THEN
    assertThat(errorOf(refused).isExhausted()).isFalse();
  }

  // Guards against a wrong refusal of a request that joins while the platform is being asked for
  // fewer tokens than it needs. The budget has enough tokens, so the request gets a round of its
  // own.
  @Test
  void isNotRefusedByRoundThatStartedBeforeIt() {
    // GIVEN
    fixture.topUp(10_000);
    fixture.platformCalls.setDelayMs(10);
    CompletableFuture<Reservation> first = fixture.account().reserve(100);
    fixture.timers.advanceMs(5);
    // WHEN
    CompletableFuture<Reservation> late = fixture.account().reserve(5_000);
    fixture.timers.advanceMs(200);
    // THEN
    assertThat(first.join().tokens()).isEqualTo(100);
    assertThat(late.join().tokens()).isEqualTo(5_000);
  }

  // Guards against a wrong refusal when another request takes the tokens that were granted for a
  // waiting one: granted tokens are in the pool for a moment, where any request can take them. The
  // waiting request would be told that the budget is exhausted although nearly all of it is left.
  @Test
  void isNotRefusedWhenAnotherRequestTookTheTokensGrantedForIt() {
    // GIVEN
    TokenPool pool = new TokenPool(new AllotmentId("konya-1.1", "branch"), () -> Long.MAX_VALUE);
    List<Optional<Reservation>> taken = new ArrayList<>();
    TokenSource platform =
        (account, demand) -> {
          pool.put(demand.needTokens());
          if (taken.isEmpty()) {
            taken.add(account.tryReserve(demand.needTokens()));
          }
          return CompletableFuture.completedFuture(TokenSource.Result.ADDED);
        };
    BudgetAccount account =
        new BudgetAccount("branch", fixture.timers, List.of(platform), settled -> {});
    account.addPool(pool);
    // WHEN
    Reservation served = account.reserve(600).join();
    // THEN
    assertThat(taken.get(0)).isPresent();
    assertThat(served.tokens()).isEqualTo(600);
  }

  // Guards against returning tokens that were collected for a waiting request: when another request
  // of a scarce budget is settled, unused tokens and loans are returned at once. The waiting
  // request would then be refused although the budget has enough tokens.
  @Test
  void keepsTokensCollectedForOneRequestWhenAnotherIsSettled() {
    // GIVEN
    fixture.topUp(1_000);
    final Reservation running = fixture.account().reserve(100).join();
    fixture.platformCalls.setDelayMs(10);
    TokenPool loan = new TokenPool(new AllotmentId("konya-2.1", "branch"), () -> Long.MAX_VALUE);
    loan.put(400);
    // WHEN
    final CompletableFuture<Reservation> waiting = fixture.account().reserve(1_300);
    fixture.timers.advanceMs(5);
    fixture.account().addPool(loan);
    running.release();
    fixture.timers.advanceMs(200);
    // THEN
    assertThat(waiting.join().tokens()).isEqualTo(1_300);
  }

  @Test
  void stopsBeforeTheLeaseEndsWhileThePlatformIsUnreachable() {
    // GIVEN
    fixture.topUp(10_000);
    fixture.account().reserve(100).join().release();
    fixture.platformCalls.setFault(Fault.DOWN);
    // WHEN
    fixture.timers.advanceMs(530_000);
    boolean before = fixture.account().tryReserve(100).isPresent();
    fixture.timers.advanceMs(20_000);
    boolean after = fixture.account().tryReserve(100).isPresent();
    // THEN
    assertThat(before).isTrue();
    assertThat(after).isFalse();
  }

  private static BudgetException errorOf(CompletableFuture<?> future) {
    CompletionException error = assertThrows(CompletionException.class, future::join);
    return (BudgetException) Failures.unwrap(error);
  }
}
