package io.mothrill.core.budget;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Borrows tokens from other instances when the platform cannot provide them. The last tokens of a
 * budget are thereby found wherever they are held, and an instance that is partitioned from the
 * platform gets top-ups through peers that are not.
 */
final class PeerSource implements TokenSource {

  private static final int MAX_ASKED = 16;

  private final PublishedValue<Membership> members;
  private final Borrower borrower;

  PeerSource(PublishedValue<Membership> members, Borrower borrower) {
    this.members = members;
    this.borrower = borrower;
  }

  @Override
  public CompletableFuture<Result> requestTokens(BudgetAccount account, TokenDemand demand) {
    List<InstanceRecord> lenders = lendersFor(account.budget(), members.read());
    boolean anyUnreachable = members.read().others().size() > lenders.size();
    return askNext(account, demand, lenders, 0, anyUnreachable);
  }

  /**
   * Returns the lenders in the order in which they are asked. The holders of the failure domains
   * come first, because unspent tokens accumulate there.
   */
  private static List<InstanceRecord> lendersFor(String budget, Membership view) {
    Set<InstanceRecord> lenders = new LinkedHashSet<>();
    view.activeInstances().stream()
        .map(InstanceRecord::domain)
        .distinct()
        .sorted()
        .forEach(
            domain ->
                RendezvousHash.rank(budget, view.activeInstancesIn(domain)).stream()
                    .limit(1)
                    .forEach(lenders::add));
    lenders.addAll(view.activeInstancesIn(view.self().domain()));
    lenders.addAll(view.others());
    return lenders.stream()
        .filter(instance -> !view.isSelf(instance) && view.isReachable(instance))
        .limit(MAX_ASKED)
        .toList();
  }

  private CompletableFuture<Result> askNext(
      BudgetAccount account,
      TokenDemand demand,
      List<InstanceRecord> lenders,
      int index,
      boolean anyUnreachable) {
    long missingTokens = demand.needTokens() + demand.availableTokens() - account.availableTokens();
    if (missingTokens <= 0) {
      return CompletableFuture.completedFuture(Result.ADDED);
    }
    if (index == lenders.size()) {
      return CompletableFuture.completedFuture(anyUnreachable ? Result.UNREACHABLE : Result.EMPTY);
    }
    TokenDemand missing =
        account.demandFor(missingTokens).withPlatformUnreachable(demand.platformUnreachable());
    return borrower
        .borrow(lenders.get(index), account, missing, missingTokens, demand.platformUnreachable())
        .thenCompose(
            answer ->
                askNext(
                    account,
                    missing,
                    lenders,
                    index + 1,
                    anyUnreachable || answer == Result.UNREACHABLE));
  }
}
