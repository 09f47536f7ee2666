package io.mothrill.core.budget;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import java.util.concurrent.CompletableFuture;

/**
 * Gets tokens from the budget's holder in this failure domain, the only instance there that
 * requests them from the platform.
 *
 * <p>With one holder per budget and failure domain, the platform's table has only a few allotments
 * per budget, regardless of the number of instances. A holder that does not respond is bypassed:
 * the instance then takes an allotment of its own, which is safe because allotments are disjoint.
 */
final class HolderSource implements TokenSource {

  private final PublishedValue<Membership> members;
  private final Borrower borrower;
  private final AllotmentManager allotments;
  private final long sliceMs;

  HolderSource(
      PublishedValue<Membership> members,
      Borrower borrower,
      AllotmentManager allotments,
      long sliceMs) {
    this.members = members;
    this.borrower = borrower;
    this.allotments = allotments;
    this.sliceMs = sliceMs;
  }

  @Override
  public CompletableFuture<Result> requestTokens(BudgetAccount account, TokenDemand demand) {
    Membership view = members.read();
    InstanceRecord holder = holderOf(account.budget(), view);
    boolean direct = allotments.isScarce(account.budget());
    if (direct || view.isSelf(holder) || !view.isReachable(holder)) {
      return allotments.requestTokens(account, demand);
    }
    long sliceTokens = (long) (demand.ratePerSecond() * sliceMs / 1_000);
    return borrower
        .borrow(holder, account, demand, sliceTokens, true)
        .thenCompose(
            answer ->
                answer == Result.UNREACHABLE
                    ? allotments.requestTokens(account, demand)
                    : CompletableFuture.completedFuture(answer));
  }

  static InstanceRecord holderOf(String budget, Membership view) {
    return RendezvousHash.rank(budget, view.activeInstancesIn(view.self().domain())).stream()
        .findFirst()
        .orElse(view.self());
  }
}
