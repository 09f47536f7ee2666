package io.mothrill.core.budget;

import io.mothrill.core.budget.TokenSource.Answer;
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
 * Lends tokens to other instances, and takes back what they do not need.
 *
 * <p>Tokens leave this instance's pool before the reply is sent. A borrower that missed the reply
 * asks again under the same transfer id and gets the same tokens.
 */
public final class Lending {

  private final Function<String, BudgetAccount> accounts;
  private final Allotments allotments;
  private final Timers timers;
  private final Consumer<BudgetAccount> afterHandBack;
  private final Transfers<BorrowReply> lent;
  private final Transfers<Boolean> takenBack;
  private final Map<String, CompletableFuture<PeerMessage>> underWay = new ConcurrentHashMap<>();

  Lending(
      Function<String, BudgetAccount> accounts,
      Allotments allotments,
      PeerDispatcher dispatcher,
      Timers timers,
      long keepMs,
      Consumer<BudgetAccount> afterHandBack) {
    this.accounts = accounts;
    this.allotments = allotments;
    this.timers = timers;
    this.afterHandBack = afterHandBack;
    this.lent = new Transfers<>(timers, keepMs);
    this.takenBack = new Transfers<>(timers, keepMs);
    dispatcher.on(BorrowRequest.class, this::onBorrow);
    dispatcher.on(HandBack.class, this::onHandBack);
  }

  private CompletableFuture<PeerMessage> onBorrow(BorrowRequest request) {
    Optional<BorrowReply> before = lent.find(request.transferId());
    if (before.isPresent()) {
      return CompletableFuture.completedFuture(before.get());
    }
    CompletableFuture<PeerMessage> first = new CompletableFuture<>();
    CompletableFuture<PeerMessage> running = underWay.putIfAbsent(request.transferId(), first);
    if (running != null) {
      return running;
    }
    var unused =
        enoughFor(request)
            .thenAccept(
                sure -> {
                  BorrowReply reply = lend(request, sure);
                  underWay.remove(request.transferId());
                  first.complete(reply);
                });
    return first;
  }

  /** Asks the platform when there is too little here, and says whether that could be asked. */
  private CompletableFuture<Boolean> enoughFor(BorrowRequest request) {
    BudgetAccount account = accounts.apply(request.budget());
    if (!request.mayGrow() || account.availableTokens() >= request.needTokens()) {
      return CompletableFuture.completedFuture(true);
    }
    long wantedTokens = Math.max(request.needTokens(), request.wantedTokens());
    return allotments
        .ask(account, account.needOf(wantedTokens))
        .thenApply(answer -> answer != Answer.UNREACHABLE);
  }

  private BorrowReply lend(BorrowRequest request, boolean sure) {
    BudgetAccount account = accounts.apply(request.budget());
    long halfTokens = account.availableTokens() / 2;
    long limitTokens = Math.max(request.needTokens(), Math.min(request.wantedTokens(), halfTokens));
    long nowMs = timers.nowMs();
    List<Slice> slices =
        account.takeForOther(limitTokens).stream()
            .map(
                part ->
                    new Slice(
                        part.pool().allotment(), part.tokens(), part.pool().spendUntilMs() - nowMs))
            .toList();
    account.noteLent(slices.stream().mapToLong(Slice::tokens).sum());
    BorrowReply reply = new BorrowReply(slices, sure);
    lent.remember(request.transferId(), reply);
    return reply;
  }

  private CompletableFuture<PeerMessage> onHandBack(HandBack request) {
    TokenPool pool = allotments.poolOf(request.allotment().budget());
    if (pool == null || !pool.allotment().equals(request.allotment())) {
      return CompletableFuture.completedFuture(new PeerMessage.Refused("not my allotment"));
    }
    synchronized (takenBack) {
      if (takenBack.find(request.transferId()).isEmpty()) {
        takenBack.remember(request.transferId(), true);
        pool.put(request.tokens());
      }
    }
    afterHandBack.accept(accounts.apply(request.allotment().budget()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }
}
