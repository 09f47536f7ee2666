package io.mothrill.core.budget;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.FaultInjector;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.Transaction;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** The budgets of one instance without peers, with an in-memory table. */
final class BudgetFixture {

  static final String BUDGET = "branch";

  final ManualTimers timers = new ManualTimers();
  final FakeTable table = new FakeTable(timers);
  final FaultInjector platformCalls = new FaultInjector(timers);
  final Lease lease;
  final BudgetController budgets;
  private int topUpCount;

  BudgetFixture(String id) {
    InstanceRecord self = new InstanceRecord(id, id + ".1", "konya", id, 1, false);
    BudgetSettings settings =
        new BudgetSettings(600_000, 60_000, 60_000, 600_000, 30_000, 4, 1_000, 1_000);
    this.lease =
        new Lease(table.withFaults(platformCalls), timers, self.incarnation(), 600_000, 60_000);
    this.budgets =
        new BudgetController(
            table.withFaults(platformCalls),
            lease,
            new PublishedValue<>(Membership.selfOnly(self)),
            (peer, request, timeoutMs) ->
                CompletableFuture.failedFuture(PeerException.connectionRefused(peer.id())),
            new PeerDispatcher(),
            timers,
            new Random(1),
            new MetricRegistry(),
            settings);
    timers.advanceMs(1);
  }

  void topUp(long tokens) {
    Row row = table.read(List.of(BudgetTables.budget(BUDGET))).join().get(0);
    Row topUp = Row.absent(BudgetTables.topUp(BUDGET, "topup-" + topUpCount++));
    var unused =
        table
            .write(
                Transaction.on(row, BudgetTables.addPaid(row, tokens))
                    .and(topUp, BudgetTables.topUpCells(tokens)))
            .join();
  }

  BudgetAccount account() {
    return budgets.account(BUDGET);
  }

  BudgetRow budgetRow() {
    return BudgetRow.of(table.read(List.of(BudgetTables.budget(BUDGET))).join().get(0));
  }

  AllotmentId allotment() {
    return new AllotmentId(lease.incarnation(), BUDGET);
  }

  AllotmentRow allotmentRow() {
    return AllotmentRow.of(
        table.read(List.of(BudgetTables.allotment(allotment().toString()))).join().get(0));
  }
}
