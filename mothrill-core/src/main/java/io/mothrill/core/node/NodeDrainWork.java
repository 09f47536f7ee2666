package io.mothrill.core.node;

import io.mothrill.core.budget.BudgetController;
import io.mothrill.core.drain.DrainWork;
import io.mothrill.core.peer.MembershipController;
import io.mothrill.core.range.RangeCoordinator;
import io.mothrill.core.request.RequestRecords;
import io.mothrill.core.request.RequestService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/** The work of a node in the stages of its drain. */
final class NodeDrainWork implements DrainWork {

  private final MembershipController membership;
  private final RequestService requests;
  private final BudgetController budgets;
  private final RequestRecords records;
  private final RangeCoordinator ranges;
  private final AtomicBoolean returned = new AtomicBoolean();

  NodeDrainWork(
      MembershipController membership,
      RequestService requests,
      BudgetController budgets,
      RequestRecords records,
      RangeCoordinator ranges) {
    this.membership = membership;
    this.requests = requests;
    this.budgets = budgets;
    this.records = records;
    this.ranges = ranges;
  }

  @Override
  public void announce() {
    membership.leave();
  }

  @Override
  public boolean isIdle() {
    return requests.inFlightCount() == 0;
  }

  @Override
  public void handOver() {
    ranges.releaseAll();
    budgets.bills().flush();
    var unused =
        budgets
            .returnAll()
            .whenComplete(
                (nothing, error) -> {
                  if (error != null) {
                    Logger.warn("failed to return tokens: {}", error.getMessage());
                  }
                  returned.set(error == null);
                });
  }

  @Override
  public boolean isHandedOver() {
    budgets.bills().flush();
    return returned.get() && budgets.bills().pendingCount() == 0 && records.unconfirmedCount() == 0;
  }
}
