package io.mothrill.core.budget;

import io.mothrill.core.budget.TokenSource.Result;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.BorrowReply;
import io.mothrill.core.peer.PeerMessage.BorrowReply.Slice;
import io.mothrill.core.peer.PeerMessage.BorrowRequest;
import io.mothrill.core.peer.PeerMessage.HandBack;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Lends tokens to other instances and accepts the return of unused ones.
 *
 * <p>Tokens are removed from the pool of this instance before the reply is sent. A borrower that
 * did not receive the reply repeats the request with the same transfer id and gets the same tokens.
 */
public final class Lender {

  private final Function<String, BudgetAccount> accounts;
  private final AllotmentManager allotments;
  private final Timers timers;
  private final Consumer<BudgetAccount> onHandBackCompleted;
  private final TransferReplyCache<BorrowReply> loanReplies;
  private final TransferReplyCache<Boolean> processedReturns;
  private final Map<String, CompletableFuture<PeerMessage>> inFlight = new ConcurrentHashMap<>();

  Lender(
      Function<String, BudgetAccount> accounts,
      AllotmentManager allotments,
      PeerDispatcher dispatcher,
      Timers timers,
      long retentionMs,
      Consumer<BudgetAccount> onHandBackCompleted) {
    this.accounts = accounts;
    this.allotments = allotments;
    this.timers = timers;
    this.onHandBackCompleted = onHandBackCompleted;
    this.loanReplies = new TransferReplyCache<>(timers, retentionMs);
    this.processedReturns = new TransferReplyCache<>(timers, retentionMs);
    dispatcher.on(BorrowRequest.class, this::onBorrow);
    dispatcher.on(HandBack.class, this::onHandBack);
  }

  private CompletableFuture<PeerMessage> onBorrow(BorrowRequest request) {
    Optional<BorrowReply> cachedReply = loanReplies.find(request.transferId());
    if (cachedReply.isPresent()) {
      return CompletableFuture.completedFuture(cachedReply.get());
    }
    CompletableFuture<PeerMessage> pendingReply = new CompletableFuture<>();
    CompletableFuture<PeerMessage> inFlightReply =
        inFlight.putIfAbsent(request.transferId(), pendingReply);
    if (inFlightReply != null) {
      return inFlightReply;
    }
    var unused =
        ensureAvailable(request)
            .thenAccept(
                sure -> {
                  BorrowReply reply = lend(request, sure);
                  inFlight.remove(request.transferId());
                  pendingReply.complete(reply);
                });
    return pendingReply;
  }

  /**
   * Requests tokens from the platform when too few are available here, and returns whether the
   * platform responded.
   */
  private CompletableFuture<Boolean> ensureAvailable(BorrowRequest request) {
    BudgetAccount account = accounts.apply(request.budget());
    if (!request.mayRefill() || account.availableTokens() >= request.needTokens()) {
      return CompletableFuture.completedFuture(true);
    }
    long wantedTokens = Math.max(request.needTokens(), request.wantedTokens());
    return allotments
        .requestTokens(account, account.demandFor(wantedTokens))
        .thenApply(answer -> answer != Result.UNREACHABLE);
  }

  private BorrowReply lend(BorrowRequest request, boolean sure) {
    BudgetAccount account = accounts.apply(request.budget());
    long halfTokens = account.availableTokens() / 2;
    long limitTokens = Math.max(request.needTokens(), Math.min(request.wantedTokens(), halfTokens));
    long nowMs = timers.nowMs();
    List<Slice> slices =
        account.takeForLoan(limitTokens).stream()
            .map(
                part ->
                    new Slice(
                        part.pool().allotment(), part.tokens(), part.pool().spendUntilMs() - nowMs))
            .toList();
    account.recordLent(slices.stream().mapToLong(Slice::tokens).sum());
    BorrowReply reply = new BorrowReply(slices, sure);
    loanReplies.put(request.transferId(), reply);
    return reply;
  }

  private CompletableFuture<PeerMessage> onHandBack(HandBack request) {
    TokenPool pool = allotments.poolOf(request.allotment().budget());
    if (pool == null || !pool.allotment().equals(request.allotment())) {
      return CompletableFuture.completedFuture(new PeerMessage.Refused("not my allotment"));
    }
    synchronized (processedReturns) {
      if (processedReturns.find(request.transferId()).isEmpty()) {
        processedReturns.put(request.transferId(), true);
        pool.put(request.tokens());
      }
    }
    onHandBackCompleted.accept(accounts.apply(request.allotment().budget()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }
}
