package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.time.Timers;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TeamSpendingTest {

  private final ManualTimers timers = new ManualTimers();
  private final TeamSpending spending = new TeamSpending(timers, 100);

  private TeamSpending.SentGrant propose(long limit, long near, long openPerS) {
    return spending.propose(spent -> new SpendingGrant(spent, limit, near, openPerS, openPerS, 0));
  }

  @Test
  void allowsNothingBeforeTheFirstRowIsConfirmed() {
    // WHEN a row is on its way
    propose(1_000, 1_000, 0);
    // THEN
    assertThat(spending.tryReserve(1)).isFalse();
  }

  @Test
  void allowsWhatConfirmedRowAllows() {
    spending.confirm(propose(1_000, 300, 0));

    assertThat(spending.tryReserve(300)).isTrue();
    assertThat(spending.tryReserve(1)).isFalse();
  }

  @Test
  void returnsUnusedTokens() {
    spending.confirm(propose(1_000, 300, 0));
    assertThat(spending.tryReserve(300)).isTrue();

    spending.settle(300, 120);

    assertThat(spending.spentTokens()).isEqualTo(220);
    assertThat(spending.tryReserve(180)).isTrue();
  }

  // Guards against spending beyond the current row: an instance renews its row with a lower bound
  // and the answer is lost, so the table may hold either row. A reader after a crash relies on the
  // row in the table, so the instance must stay below both until it knows the result.
  @Test
  void staysBelowBothRowsWhileTheRenewalIsUnconfirmed() {
    spending.confirm(propose(1_000, 900, 0));

    TeamSpending.SentGrant unknown = propose(1_000, 50, 0);

    assertThat(spending.tryReserve(51)).isFalse();
    spending.retract(unknown);
    assertThat(spending.tryReserve(51)).isTrue();
  }

  // The same with a higher bound, which counts only once it is confirmed.
  @Test
  void doesNotTrustHigherRowBeforeItIsConfirmed() {
    spending.confirm(propose(1_000, 50, 0));

    TeamSpending.SentGrant unknown = propose(5_000, 4_000, 0);

    assertThat(spending.tryReserve(51)).isFalse();
    spending.confirm(unknown);
    assertThat(spending.tryReserve(51)).isTrue();
  }

  // Guards against spending beyond the budget: a row that is proposed while a request is refused
  // counts the tokens of the request as spent, and allows as many beyond its limit.
  @Test
  void refusedTokensAreNeverCountedAsSpent() {
    List<Long> seenTokens = new ArrayList<>();
    AtomicReference<TeamSpending> observed = new AtomicReference<>();
    Timers observing =
        (Timers)
            Proxy.newProxyInstance(
                Timers.class.getClassLoader(),
                new Class<?>[] {Timers.class},
                (proxy, method, args) -> {
                  Optional.ofNullable(observed.get())
                      .ifPresent(spending -> seenTokens.add(spending.spentTokens()));
                  return method.invoke(timers, args);
                });
    TeamSpending refusing = new TeamSpending(observing, 100);
    observed.set(refusing);

    assertThat(refusing.tryReserve(1_000)).isFalse();
    assertThat(refusing.lend(1_000, 1_000, 1)).isEqualTo(0);

    assertThat(Set.copyOf(seenTokens)).containsExactly(100L);
  }

  // Guards against a limit that grows without tokens of the budget, whatever counts as spent.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void limitGrowsOnlyByUnassignedTokens(boolean mayChange) {
    GrantCalculator.TeamState spentBudget =
        new GrantCalculator.TeamState(
            1_000, 1_000, 400, 0, 0, 0, 0, 10, 10, 100, 0, true, 1, true, false);

    SpendingGrant grant =
        new GrantCalculator(new DemandSharePolicy()).calculate(spentBudget, 450, mayChange);

    assertThat(grant.limitTokens()).isAtMost(400);
  }

  @Test
  void releasesTokensWithTheAgeOfTheRow() {
    spending.confirm(propose(1_000, 0, 100));
    assertThat(spending.tryReserve(200)).isFalse();
    assertThat(spending.waitMs(200)).isEqualTo(SpendingGrant.SLOW_RELEASE_AFTER_MS + 2_000);

    timers.advanceMs(SpendingGrant.SLOW_RELEASE_AFTER_MS + 2_000);

    assertThat(spending.tryReserve(200)).isTrue();
  }

  @Test
  void countsLoanAsSpent() {
    spending.confirm(propose(1_000, 400, 0));

    long lent = spending.lend(50, 300, 2);

    assertThat(lent).isEqualTo(200);
    assertThat(spending.spentTokens()).isEqualTo(300);
    spending.returnLoan(80);
    assertThat(spending.spentTokens()).isEqualTo(220);
  }

  @Test
  void lendsPartOfTheNeededTokensWhenItIsLargeEnough() {
    spending.confirm(propose(1_000, 40, 0));

    assertThat(spending.lend(50, 300, 2)).isEqualTo(40);
    assertThat(spending.spentTokens()).isEqualTo(140);
  }

  @Test
  void lendsNothingWhenTokensAreTooFew() {
    spending.confirm(propose(1_000, 11, 0));

    assertThat(spending.lend(50, 300, 2)).isEqualTo(0);
    assertThat(spending.spentTokens()).isEqualTo(100);
  }
}
