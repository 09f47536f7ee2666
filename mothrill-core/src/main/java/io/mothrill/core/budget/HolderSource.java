package io.mothrill.core.budget;

import io.mothrill.core.board.Section;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.Rendezvous;
import io.mothrill.core.platform.InstanceRecord;
import java.util.concurrent.CompletableFuture;

/**
 * Gets tokens from the budget's holder in this failure domain, which alone asks the platform.
 *
 * <p>With one holder per budget and domain, the platform's table sees a few allotments per budget,
 * however many instances there are. A holder that does not answer is passed over: the instance then
 * takes an allotment of its own, which is safe, since allotments are disjoint.
 */
final class HolderSource implements TokenSource {

  private final Section<Membership> members;
  private final Borrower borrower;
  private final Allotments allotments;
  private final long sliceMs;

  HolderSource(
      Section<Membership> members, Borrower borrower, Allotments allotments, long sliceMs) {
    this.members = members;
    this.borrower = borrower;
    this.allotments = allotments;
    this.sliceMs = sliceMs;
  }

  @Override
  public CompletableFuture<Answer> ask(BudgetAccount account, Need need) {
    Membership view = members.read();
    InstanceRecord holder = holderOf(account.budget(), view);
    boolean direct = allotments.isScarce(account.budget());
    if (direct || view.isSelf(holder) || !view.isReachable(holder)) {
      return allotments.ask(account, need);
    }
    long sliceTokens = (long) (need.ratePerSecond() * sliceMs / 1_000);
    return borrower
        .borrow(holder, account, need, sliceTokens, true)
        .thenCompose(
            answer ->
                answer == Answer.UNREACHABLE
                    ? allotments.ask(account, need)
                    : CompletableFuture.completedFuture(answer));
  }

  static InstanceRecord holderOf(String budget, Membership view) {
    return Rendezvous.rank(budget, view.stayingIn(view.self().domain())).stream()
        .findFirst()
        .orElse(view.self());
  }
}
