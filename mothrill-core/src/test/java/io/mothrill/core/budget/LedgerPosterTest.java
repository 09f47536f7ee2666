package io.mothrill.core.budget;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.audit.AuditReport;
import io.mothrill.core.audit.Auditor;
import io.mothrill.core.fake.Fault;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.Transaction;
import java.util.List;
import org.junit.jupiter.api.Test;

class LedgerPosterTest {

  private static final LedgerEntry BILL = new LedgerEntry("run-1", "team/key-1", 40);

  private final BudgetFixture fixture = new BudgetFixture("konya-1");

  private AllotmentId granted() {
    fixture.topUp(100_000);
    fixture.account().reserve(100).join().release();
    return fixture.allotment();
  }

  private LedgerPoster otherPoster() {
    return new LedgerPoster(
        fixture.table, "other.1", fixture.timers, new MetricRegistry(), 1_000_000);
  }

  private AuditReport audit() {
    return new Auditor(fixture.table).audit().join();
  }

  // Guards against billing a request twice when the batch was written but the response was lost and
  // the batch is retried.
  @Test
  void writesBatchOnceWhenItsResponseWasLost() {
    // GIVEN
    final var posted = fixture.budgets.bills().add(granted(), BILL);
    fixture.platformCalls.setFault(Fault.ANSWER_LOST);
    fixture.timers.advanceMs(1_000);
    // WHEN
    fixture.platformCalls.setFault(Fault.NONE);
    fixture.timers.advanceMs(2_000);
    // THEN
    assertThat(posted.isDone()).isTrue();
    assertThat(fixture.allotmentRow().billedTokens()).isEqualTo(40);
    assertThat(audit().findings()).isEmpty();
  }

  // Guards against billing a request twice when another instance considers the runner crashed and
  // posts its bill, and the runner then returns and adds the same bill for the first time, after
  // its poster has read the batch of the other instance.
  @Test
  void dropsBillRecoveredBeforeItsRunnerReturned() {
    // GIVEN
    AllotmentId allotment = granted();
    LedgerPoster other = otherPoster();
    var unused = other.recover(allotment, BILL);
    other.flush();
    var second = fixture.budgets.bills().add(allotment, new LedgerEntry("run-2", "team/key-2", 5));
    fixture.timers.advanceMs(2_000);
    // WHEN
    var returned = fixture.budgets.bills().add(allotment, BILL);
    fixture.timers.advanceMs(2_000);
    // THEN
    assertThat(second.isDone()).isTrue();
    assertThat(returned.isDone()).isTrue();
    assertThat(fixture.allotmentRow().billedTokens()).isEqualTo(45);
    assertThat(audit().findings()).isEmpty();
  }

  // Guards against billing a request twice when the runner posts its bill and crashes before it can
  // report that. The instance that recovers the bill reads the ledger first and finds it.
  @Test
  void doesNotRecoverBillThatWasPosted() {
    // GIVEN
    AllotmentId allotment = granted();
    final var posted = fixture.budgets.bills().add(allotment, BILL);
    fixture.timers.advanceMs(2_000);
    // WHEN
    LedgerPoster other = otherPoster();
    var recovered = other.recover(allotment, BILL);
    other.flush();
    // THEN
    assertThat(posted.isDone()).isTrue();
    assertThat(recovered.isDone()).isTrue();
    assertThat(fixture.allotmentRow().ledgerSeq()).isEqualTo(1);
  }

  // Guards against overspending by a bill that arrives after its allotment was closed and the
  // remaining tokens were granted to others. The bill is stored separately and reported by the
  // audit.
  @Test
  void storesLateBillSeparatelyWhenAllotmentIsClosed() {
    // GIVEN
    AllotmentId allotment = granted();
    Row row =
        fixture.table.read(List.of(BudgetTables.allotment(allotment.toString()))).join().get(0);
    var closed =
        fixture.table.write(Transaction.on(row, AllotmentRow.of(row).close().toCells())).join();
    // WHEN
    var late = fixture.budgets.bills().add(allotment, BILL);
    fixture.timers.advanceMs(2_000);
    // THEN
    assertThat(closed).isTrue();
    assertThat(late.isDone()).isTrue();
    assertThat(fixture.allotmentRow().billedTokens()).isEqualTo(0);
    assertThat(audit().findings().toString()).contains("late bill");
  }
}
