package io.mothrill.core.budget;

import io.mothrill.core.board.Section;
import io.mothrill.core.budget.TokenSource.Answer;
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
 * Borrows tokens from other instances and hands back what is left.
 *
 * <p>A transfer whose reply was lost stays on record and is asked for again under the same id, so
 * the tokens that the lender has already given up are not lost.
 */
final class Borrower {

  private static final long ASK_TIMEOUT_MS = 1_000;

  private final Section<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final AtomicLong nextTransfer = new AtomicLong();
  private final Map<String, OpenLoan> openLoans = new ConcurrentHashMap<>();
  private final Map<String, HandBack> openReturns = new ConcurrentHashMap<>();

  Borrower(Section<Membership> members, PeerLinks links, Timers timers) {
    this.members = members;
    this.links = links;
    this.timers = timers;
  }

  private record OpenLoan(
      InstanceRecord lender, BorrowRequest request, BudgetAccount account, long sentAtMs) {}

  /** Asks one peer for tokens. */
  CompletableFuture<Answer> borrow(
      InstanceRecord lender, BudgetAccount account, Need need, long wantedTokens, boolean mayGrow) {
    BorrowRequest request =
        new BorrowRequest(
            nextTransferId(), account.budget(), need.needTokens(), wantedTokens, mayGrow);
    OpenLoan loan = new OpenLoan(lender, request, account, timers.nowMs());
    openLoans.put(request.transferId(), loan);
    return ask(loan).exceptionally(error -> Answer.UNREACHABLE);
  }

  private String nextTransferId() {
    return members.read().self().incarnation() + "#" + nextTransfer.incrementAndGet();
  }

  private CompletableFuture<Answer> ask(OpenLoan loan) {
    return links
        .ask(loan.lender(), loan.request(), ASK_TIMEOUT_MS)
        .thenApply(reply -> takeUp(loan, reply));
  }

  private Answer takeUp(OpenLoan loan, PeerMessage message) {
    if (!(message instanceof BorrowReply reply)) {
      return Answer.UNREACHABLE;
    }
    boolean first = openLoans.remove(loan.request().transferId()) != null;
    if (first) {
      reply.slices().forEach(slice -> addPool(loan, slice));
    }
    if (!reply.slices().isEmpty()) {
      return Answer.ADDED;
    }
    return reply.sure() ? Answer.EMPTY : Answer.UNREACHABLE;
  }

  private static void addPool(OpenLoan loan, BorrowReply.Slice slice) {
    long untilMs = loan.sentAtMs() + slice.spendForMs();
    TokenPool pool = new TokenPool(slice.allotment(), () -> untilMs);
    pool.put(slice.tokens());
    loan.account().addPool(pool);
  }

  /** Hands tokens of a pool back to the instance that holds their allotment. */
  void handBack(TokenPool pool) {
    long tokens = pool.takeUpTo(Long.MAX_VALUE);
    if (tokens > 0) {
      HandBack request = new HandBack(nextTransferId(), pool.allotment(), tokens);
      openReturns.put(request.transferId(), request);
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
                      .ask(holder, request, ASK_TIMEOUT_MS)
                      .thenAccept(reply -> openReturns.remove(request.transferId()))
                      .exceptionally(error -> null);
            });
  }

  /** Repeats what got no reply, as long as the other instance is still known. */
  void repeatOpen() {
    openReturns.values().forEach(this::send);
    openLoans.values().removeIf(this::isLenderGone);
    openLoans
        .values()
        .forEach(
            loan -> {
              var unused = ask(loan).exceptionally(error -> Answer.UNREACHABLE);
            });
  }

  private boolean isLenderGone(OpenLoan loan) {
    return members.read().find(loan.lender().incarnation()).isEmpty();
  }
}
