package io.mothrill.core.budget;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.budget.TokenSource.Result;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.BorrowReply;
import io.mothrill.core.peer.PeerMessage.BorrowRequest;
import io.mothrill.core.peer.PeerMessage.HandBack;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Borrows tokens from other instances and returns the unused ones.
 *
 * <p>A transfer whose reply was lost stays pending and is requested again under the same id, so the
 * tokens that the lender has already removed from its pool are not lost.
 */
final class Borrower {

  private static final long ASK_TIMEOUT_MS = 1_000;

  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final AtomicLong nextTransfer = new AtomicLong();
  private final Map<String, PendingLoan> pendingLoans = new ConcurrentHashMap<>();
  private final Map<String, HandBack> pendingReturns = new ConcurrentHashMap<>();

  Borrower(PublishedValue<Membership> members, PeerLinks links, Timers timers) {
    this.members = members;
    this.links = links;
    this.timers = timers;
  }

  private record PendingLoan(
      InstanceRecord lender, BorrowRequest request, BudgetAccount account, long sentAtMs) {}

  /** Requests tokens from one peer. */
  CompletableFuture<Result> borrow(
      InstanceRecord lender,
      BudgetAccount account,
      TokenDemand demand,
      long wantedTokens,
      boolean mayGrow) {
    BorrowRequest request =
        new BorrowRequest(
            nextTransferId(), account.budget(), demand.needTokens(), wantedTokens, mayGrow);
    PendingLoan loan = new PendingLoan(lender, request, account, timers.nowMs());
    pendingLoans.put(request.transferId(), loan);
    return ask(loan).exceptionally(error -> Result.UNREACHABLE);
  }

  private String nextTransferId() {
    return members.read().self().incarnation() + "#" + nextTransfer.incrementAndGet();
  }

  private CompletableFuture<Result> ask(PendingLoan loan) {
    return links
        .request(loan.lender(), loan.request(), ASK_TIMEOUT_MS)
        .thenApply(reply -> acceptReply(loan, reply));
  }

  private Result acceptReply(PendingLoan loan, PeerMessage message) {
    if (!(message instanceof BorrowReply reply)) {
      return Result.UNREACHABLE;
    }
    boolean firstReply = pendingLoans.remove(loan.request().transferId()) != null;
    if (firstReply) {
      reply.slices().forEach(slice -> addPool(loan, slice));
    }
    if (!reply.slices().isEmpty()) {
      return Result.ADDED;
    }
    return reply.conclusive() ? Result.EMPTY : Result.UNREACHABLE;
  }

  private static void addPool(PendingLoan loan, BorrowReply.Slice slice) {
    long untilMs = loan.sentAtMs() + slice.spendForMs();
    TokenPool pool = new TokenPool(slice.allotment(), () -> untilMs);
    pool.put(slice.tokens());
    loan.account().addPool(pool);
  }

  /** Returns the tokens of a pool to the instance that holds their allotment. */
  void handBack(TokenPool pool) {
    long tokens = pool.takeUpTo(Long.MAX_VALUE);
    if (tokens > 0) {
      HandBack request = new HandBack(nextTransferId(), pool.allotment(), tokens);
      pendingReturns.put(request.transferId(), request);
      send(request);
    }
  }

  private void send(HandBack request) {
    members
        .read()
        .find(request.allotment().incarnation())
        .ifPresent(
            holder -> {
              var unused =
                  links
                      .request(holder, request, ASK_TIMEOUT_MS)
                      .thenAccept(reply -> pendingReturns.remove(request.transferId()))
                      .exceptionally(error -> null);
            });
  }

  /** Retries transfers that got no reply, as long as the other instance is still known. */
  void retryOpen() {
    pendingReturns.values().forEach(this::send);
    pendingLoans.values().removeIf(this::isLenderGone);
    pendingLoans
        .values()
        .forEach(
            loan -> {
              var unused = ask(loan).exceptionally(error -> Result.UNREACHABLE);
            });
  }

  private boolean isLenderGone(PendingLoan loan) {
    return members.read().find(loan.lender().incarnation()).isEmpty();
  }
}
