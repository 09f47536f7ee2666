package io.mothrill.core.budget;

import io.mothrill.core.board.Section;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.Rendezvous;
import io.mothrill.core.platform.InstanceRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Borrows from other instances what the platform cannot give, so that the last tokens of a budget
 * are found wherever they lie, and so that a side that is cut off from the platform gets top-ups
 * through peers that are not.
 */
final class PeerSource implements TokenSource {

  private static final int MAX_ASKED = 16;

  private final Section<Membership> members;
  private final Borrower borrower;

  PeerSource(Section<Membership> members, Borrower borrower) {
    this.members = members;
    this.borrower = borrower;
  }

  @Override
  public CompletableFuture<Answer> ask(BudgetAccount account, Need need) {
    List<InstanceRecord> lenders = lendersOf(account.budget(), members.read());
    boolean someUnreachable = members.read().others().size() > lenders.size();
    return askNext(account, need, lenders, 0, someUnreachable);
  }

  /** Holders of other domains come first: what is not spent gathers there. */
  private static List<InstanceRecord> lendersOf(String budget, Membership view) {
    Set<InstanceRecord> lenders = new LinkedHashSet<>();
    view.staying().stream()
        .map(InstanceRecord::domain)
        .distinct()
        .sorted()
        .forEach(
            domain ->
                Rendezvous.rank(budget, view.stayingIn(domain)).stream()
                    .limit(1)
                    .forEach(lenders::add));
    lenders.addAll(view.stayingIn(view.self().domain()));
    lenders.addAll(view.others());
    return lenders.stream()
        .filter(instance -> !view.isSelf(instance) && view.isReachable(instance))
        .limit(MAX_ASKED)
        .toList();
  }

  private CompletableFuture<Answer> askNext(
      BudgetAccount account,
      Need need,
      List<InstanceRecord> lenders,
      int index,
      boolean someUnreachable) {
    long missingTokens = need.needTokens() + need.availableTokens() - account.availableTokens();
    if (missingTokens <= 0) {
      return CompletableFuture.completedFuture(Answer.ADDED);
    }
    if (index == lenders.size()) {
      return CompletableFuture.completedFuture(someUnreachable ? Answer.UNREACHABLE : Answer.EMPTY);
    }
    Need missing = account.needOf(missingTokens).with(need.platformAway());
    return borrower
        .borrow(lenders.get(index), account, missing, missingTokens, need.platformAway())
        .thenCompose(
            answer ->
                askNext(
                    account,
                    missing,
                    lenders,
                    index + 1,
                    someUnreachable || answer == Answer.UNREACHABLE));
  }
}
