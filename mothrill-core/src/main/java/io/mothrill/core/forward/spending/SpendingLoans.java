package io.mothrill.core.forward.spending;

import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Lends and borrows tokens between instances, where the table cannot move them or not soon enough.
 *
 * <p>A lender sets what it lends aside as if it had spent it, below its own bound. So whoever reads
 * its row after a crash counts the loan as spent, and the budget holds whatever becomes of lender,
 * borrower and the messages between them; a lost message strands tokens, and nothing more.
 */
final class SpendingLoans {

  /** A peer nearby answers within some milliseconds; one that does not is cut off or busy. */
  private static final long ANSWER_MS = 150;

  /** Peers that are asked for one request, one after the other. */
  private static final int MAX_ASKED = 3;

  /** Pause after a team found no lender, so that a spent budget costs no messages. */
  private static final long NO_LENDER_PAUSE_MS = 500;

  /** Part of what a lender has over that one loan may take. */
  private static final long LENT_DIVISOR = 2;

  private final PeerLinks links;
  private final Timers timers;
  private final InstanceRecord self;
  private final Function<String, Optional<TeamSpending>> ownSpending;
  private final Map<String, List<Loan>> loans = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Void>> underWay = new ConcurrentHashMap<>();
  private final Map<String, Long> noLenderMs = new ConcurrentHashMap<>();
  private final AtomicLong transferCount = new AtomicLong();

  SpendingLoans(
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      InstanceRecord self,
      Function<String, Optional<TeamSpending>> ownSpending) {
    this.links = links;
    this.timers = timers;
    this.self = self;
    this.ownSpending = ownSpending;
    dispatcher.on(PeerMessage.BorrowRequest.class, this::lend);
    dispatcher.on(PeerMessage.HandBack.class, this::takeBack);
  }

  private CompletableFuture<PeerMessage> lend(PeerMessage.BorrowRequest request) {
    long lent =
        ownSpending
            .apply(request.budget())
            .map(
                spending ->
                    spending.lend(request.needTokens(), request.wantedTokens(), LENT_DIVISOR))
            .orElse(0L);
    if (lent > 0) {
      Logger.info("tokens lent team={} tokens={}", request.budget(), lent);
    }
    List<PeerMessage.BorrowReply.Slice> slices =
        lent == 0
            ? List.of()
            : List.of(
                new PeerMessage.BorrowReply.Slice(
                    new AllotmentId(self.incarnation(), request.budget()), lent, Long.MAX_VALUE));
    return CompletableFuture.completedFuture(new PeerMessage.BorrowReply(slices, true));
  }

  private CompletableFuture<PeerMessage> takeBack(PeerMessage.HandBack request) {
    ownSpending
        .apply(request.allotment().budget())
        .ifPresent(spending -> spending.takeBack(request.tokens()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  /** Adds what is left of loans to what a request needs. */
  void addTo(SpendingPieces pieces, String team) {
    loans.getOrDefault(team, List.of()).forEach(loan -> pieces.addFrom(loan::reserveUpTo));
  }

  /** Gives what is left of a team's loans. */
  long leftTokens(String team) {
    return loans.getOrDefault(team, List.of()).stream().mapToLong(Loan::leftTokens).sum();
  }

  /**
   * Borrows tokens, together with whoever asks for the same team meanwhile.
   *
   * @param team the team
   * @param needTokens what is lacking, from one lender or several
   * @param wantedTokens as much as would be good from each
   * @param lenders whom to ask, in order
   * @return completes when the lenders were asked, whatever they gave
   */
  CompletableFuture<Void> borrow(
      String team, long needTokens, long wantedTokens, List<InstanceRecord> lenders) {
    Long failedMs = noLenderMs.get(team);
    if (failedMs != null && timers.nowMs() - failedMs < NO_LENDER_PAUSE_MS) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> mine = new CompletableFuture<>();
    CompletableFuture<Void> current = underWay.putIfAbsent(team, mine);
    if (current != null) {
      return current;
    }
    ask(team, needTokens, wantedTokens, lenders.stream().limit(MAX_ASKED).toList())
        .thenAccept(
            missing -> {
              if (missing == needTokens) {
                noLenderMs.put(team, timers.nowMs());
              }
              underWay.remove(team);
              mine.complete(null);
            });
    return mine;
  }

  /** Asks one lender after the other; gives what is still lacking afterwards. */
  private CompletableFuture<Long> ask(
      String team, long needTokens, long wantedTokens, List<InstanceRecord> lenders) {
    if (lenders.isEmpty() || needTokens <= 0) {
      return CompletableFuture.completedFuture(needTokens);
    }
    InstanceRecord lender = lenders.get(0);
    return links
        .ask(
            lender,
            new PeerMessage.BorrowRequest(nextTransfer(), team, needTokens, wantedTokens, false),
            ANSWER_MS)
        .thenApply(reply -> take(team, lender, reply))
        .exceptionally(
            error -> {
              Logger.debug("no loan from {}: {}", lender.id(), Failures.unwrap(error).getMessage());
              return 0L;
            })
        .thenCompose(
            borrowed ->
                ask(team, needTokens - borrowed, wantedTokens, lenders.subList(1, lenders.size())));
  }

  private long take(String team, InstanceRecord lender, PeerMessage reply) {
    if (!(reply instanceof PeerMessage.BorrowReply given) || given.slices().isEmpty()) {
      return 0;
    }
    long tokens = given.slices().stream().mapToLong(PeerMessage.BorrowReply.Slice::tokens).sum();
    List<Loan> ofTeam = loans.computeIfAbsent(team, name -> new CopyOnWriteArrayList<>());
    ofTeam.removeIf(Loan::isOver);
    ofTeam.add(new Loan(lender, tokens));
    Logger.info("tokens borrowed team={} tokens={} lender={}", team, tokens, lender.id());
    return tokens;
  }

  /**
   * Hands back what is left of all loans, as the table can give tokens again.
   *
   * <p>Each rest is sent once: a second message after a lost reply would be taken twice.
   */
  void handBack() {
    loans.forEach(
        (team, ofTeam) -> {
          ofTeam.forEach(loan -> handBack(team, loan));
          ofTeam.removeIf(Loan::isOver);
        });
  }

  private void handBack(String team, Loan loan) {
    long rest = loan.takeRest();
    if (rest > 0) {
      send(team, loan, rest);
    }
  }

  private void send(String team, Loan loan, long tokens) {
    AllotmentId allotment = new AllotmentId(loan.lender().incarnation(), team);
    var unused =
        links
            .ask(
                loan.lender(),
                new PeerMessage.HandBack(nextTransfer(), allotment, tokens),
                ANSWER_MS)
            .exceptionally(
                error -> {
                  Logger.warn(
                      "tokens stranded team={} tokens={} lender={}: {}",
                      team,
                      tokens,
                      loan.lender().id(),
                      Failures.unwrap(error).getMessage());
                  return new PeerMessage.Done();
                });
  }

  private String nextTransfer() {
    return self.incarnation() + "-" + transferCount.incrementAndGet();
  }
}
