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

  private final BudgetBench bench = new BudgetBench("konya-1");

  private AllotmentId granted() {
    bench.pay(100_000);
    bench.account().reserve(100).join().release();
    return bench.allotment();
  }

  private LedgerPoster otherPoster() {
    return new LedgerPoster(bench.table, "other.1", bench.timers, new MetricRegistry(), 1_000_000);
  }

  private AuditReport audit() {
    return new Auditor(bench.table).audit().join();
  }

  // The batch is written, but its answer is lost. Written again, the request would be billed twice.
  @Test
  void writesBatchOnceWhenItsAnswerWasLost() {
    // GIVEN
    final var posted = bench.budgets.bills().add(granted(), BILL);
    bench.way.fail(Fault.ANSWER_LOST);
    bench.timers.advanceMs(1_000);
    // WHEN
    bench.way.fail(Fault.NONE);
    bench.timers.advanceMs(2_000);
    // THEN
    assertThat(posted.isDone()).isTrue();
    assertThat(bench.allotmentRow().billedTokens()).isEqualTo(40);
    assertThat(audit().findings()).isEmpty();
  }

  // Another instance believes the runner dead and posts its bill. The runner comes back and hands
  // the same bill in for the first time, after its poster has read the other's batch.
  @Test
  void dropsBillThatWasRecoveredBeforeItsRunnerCameBack() {
    // GIVEN
    AllotmentId allotment = granted();
    LedgerPoster other = otherPoster();
    var unused = other.recover(allotment, BILL);
    other.flush();
    var second = bench.budgets.bills().add(allotment, new LedgerEntry("run-2", "team/key-2", 5));
    bench.timers.advanceMs(2_000);
    // WHEN
    var returned = bench.budgets.bills().add(allotment, BILL);
    bench.timers.advanceMs(2_000);
    // THEN
    assertThat(second.isDone()).isTrue();
    assertThat(returned.isDone()).isTrue();
    assertThat(bench.allotmentRow().billedTokens()).isEqualTo(45);
    assertThat(audit().findings()).isEmpty();
  }

  // The runner posts its bill and dies before it can say so. Whoever recovers it reads the ledger
  // first and finds it.
  @Test
  void doesNotRecoverBillThatWasPosted() {
    // GIVEN
    AllotmentId allotment = granted();
    final var posted = bench.budgets.bills().add(allotment, BILL);
    bench.timers.advanceMs(2_000);
    // WHEN
    LedgerPoster other = otherPoster();
    var recovered = other.recover(allotment, BILL);
    other.flush();
    // THEN
    assertThat(posted.isDone()).isTrue();
    assertThat(recovered.isDone()).isTrue();
    assertThat(bench.allotmentRow().ledgerSeq()).isEqualTo(1);
  }

  // An allotment is closed and its rest granted to others. A bill that comes then must not be
  // written into it: paid tokens could be exceeded. It is set aside and named by the audit.
  @Test
  void setsBillAsideThatComesAfterItsAllotmentWasClosed() {
    // GIVEN
    AllotmentId allotment = granted();
    Row row = bench.table.read(List.of(BudgetTables.allotment(allotment.toString()))).join().get(0);
    var closed =
        bench.table.write(Transaction.on(row, AllotmentRow.of(row).close().toCells())).join();
    // WHEN
    var late = bench.budgets.bills().add(allotment, BILL);
    bench.timers.advanceMs(2_000);
    // THEN
    assertThat(closed).isTrue();
    assertThat(late.isDone()).isTrue();
    assertThat(bench.allotmentRow().billedTokens()).isEqualTo(0);
    assertThat(audit().findings().toString()).contains("late bill");
  }
}
