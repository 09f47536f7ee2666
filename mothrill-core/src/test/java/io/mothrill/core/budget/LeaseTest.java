package io.mothrill.core.budget;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.Transaction;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseTest {

  private final BudgetFixture fixture = new BudgetFixture("konya-1");

  private Row row() {
    return fixture
        .table
        .read(List.of(BudgetTables.lease(fixture.lease.incarnation())))
        .join()
        .get(0);
  }

  @Test
  void countsFromWhenTheRenewalWasSent() {
    // GIVEN
    fixture.platformCalls.setDelayMs(5_000);
    long sentAtMs = fixture.timers.nowMs();
    // WHEN
    var renewed = fixture.lease.renew();
    fixture.timers.advanceMs(11_000);
    // THEN
    assertThat(renewed.isDone()).isTrue();
    assertThat(fixture.lease.spendUntilMs()).isEqualTo(sentAtMs + 600_000 - 60_000);
  }

  // Guards against renewing a closed lease as a new one: an instance is paused beyond its lease,
  // others close the lease and remove its row, and its allotments have been granted to others when
  // it resumes.
  @Test
  void staysClosedWhenItsRowWasRemoved() {
    // GIVEN
    var removed =
        fixture.table.write(new Transaction(List.of(), List.of()).andDelete(row())).join();
    // WHEN
    var renewed = fixture.lease.renew();
    // THEN
    assertThat(removed).isTrue();
    assertThat(renewed.isCompletedExceptionally()).isTrue();
    assertThat(fixture.lease.isClosed()).isTrue();
    assertThat(fixture.lease.isValid()).isFalse();
    assertThat(row().exists()).isFalse();
  }
}
