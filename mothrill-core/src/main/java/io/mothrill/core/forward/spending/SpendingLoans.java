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
import java.util.stream.Collectors;
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
  private static final int MAX_LENDERS_ASKED = 3;

  /** Pause after a team found no lender, so that a spent budget costs few messages. */
  private static final long NO_LENDER_PAUSE_MS = 200;

  /** A reply that comes later than the borrower waits is still taken, and handed back. */
  private static final long LATE_ANSWER_MS = 2_000;

  /** A holder that has just not answered is passed over for so long, and the table is asked. */
  private static final long UNRESPONSIVE_PEER_PAUSE_MS = 1_000;

  /** A lender that makes more ready answers after its renewal, which is paced in a large fleet. */
  private static final long REFILL_ANSWER_MS = 1_000;

  /** Part of what a lender has over that one loan may take. */
  private static final long MAX_LOAN_DIVISOR = 2;

  private final PeerLinks links;
  private final Timers timers;
  private final InstanceRecord self;
  private final Function<String, Optional<TeamSpending>> ownSpending;
  private final Refill refill;
  private final ShortageLog shortages;
  private final Map<String, List<Loan>> loans = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Void>> inFlightByTeam = new ConcurrentHashMap<>();
  private final ExpiringSet teamsWithoutLender;
  private final ExpiringSet teamsWithoutTokens;
  private final ExpiringSet unresponsivePeers;
  private final AtomicLong transferCount = new AtomicLong();

  SpendingLoans(
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      InstanceRecord self,
      Function<String, Optional<TeamSpending>> ownSpending,
      Refill refill,
      ShortageLog shortages) {
    this.refill = refill;
    this.shortages = shortages;
    this.links = links;
    this.timers = timers;
    this.self = self;
    this.ownSpending = ownSpending;
    this.teamsWithoutLender = new ExpiringSet(timers, NO_LENDER_PAUSE_MS);
    this.teamsWithoutTokens = new ExpiringSet(timers, NO_LENDER_PAUSE_MS);
    this.unresponsivePeers = new ExpiringSet(timers, UNRESPONSIVE_PEER_PAUSE_MS);
    dispatcher.on(PeerMessage.BorrowRequest.class, this::lend);
    dispatcher.on(PeerMessage.HandBack.class, this::onLoanReturned);
  }

  /** Gets tokens from the table for a loan that is larger than what is ready here. */
  interface Refill {

    /** Has so much more ready with the next row, if the store is in reach. */
    void requestWithNextRenewal(String team, long missingTokens);

    /**
     * Asks for tokens; completes with true when the own row was renewed and shows all that the
     * table can give, and with false when it was not in time. Gives nothing out of touch.
     */
    Optional<CompletableFuture<Boolean>> refill(String team, long needTokens);
  }

  /**
   * Lends what is ready, and has more ready with the next row if it was too little.
   *
   * <p>Failure: a team's demand moves to a domain whose holder has used what it held, while those
   * of the other domains hold much and have little of it ready. Symptom: second after second its
   * requests find each of them empty. What was lacking shows how much more has to be ready.
   */
  private CompletableFuture<PeerMessage> lend(PeerMessage.BorrowRequest request) {
    return request.mayGrow() ? lendWithRefill(request) : lendAvailable(request);
  }

  private CompletableFuture<PeerMessage> lendAvailable(PeerMessage.BorrowRequest request) {
    long lent = tryLend(request, request.needTokens());
    if (lent < request.needTokens()) {
      refill.requestWithNextRenewal(request.budget(), request.needTokens() - lent);
    }
    return CompletableFuture.completedFuture(replyWith(request, lent, false));
  }

  private CompletableFuture<PeerMessage> lendWithRefill(PeerMessage.BorrowRequest request) {
    long lent = tryLend(request, request.needTokens());
    long missing = request.needTokens() - lent;
    if (missing <= 0) {
      return CompletableFuture.completedFuture(replyWith(request, lent, false));
    }
    return refill
        .refill(request.budget(), missing)
        .map(refilling -> lendAfterRefill(request, lent, refilling))
        .orElseGet(() -> CompletableFuture.completedFuture(replyWith(request, lent, false)));
  }

  private CompletableFuture<PeerMessage> lendAfterRefill(
      PeerMessage.BorrowRequest request, long lent, CompletableFuture<Boolean> refilling) {
    return refilling.thenApply(
        renewed -> {
          long more = tryLend(request, request.needTokens() - lent);
          boolean exhausted = renewed && lent + more < request.needTokens();
          return replyWith(request, lent + more, exhausted);
        });
  }

  private long tryLend(PeerMessage.BorrowRequest request, long needTokens) {
    long wantedTokens = Math.max(needTokens, request.wantedTokens());
    return ownSpending
        .apply(request.budget())
        .map(spending -> spending.lend(needTokens, wantedTokens, MAX_LOAN_DIVISOR))
        .orElse(0L);
  }

  private PeerMessage replyWith(PeerMessage.BorrowRequest request, long lent, boolean exhausted) {
    if (lent > request.needTokens()) {
      Logger.info("tokens lent team={} tokens={}", request.budget(), lent);
    }
    List<PeerMessage.BorrowReply.Slice> slices =
        lent == 0
            ? List.of()
            : List.of(
                new PeerMessage.BorrowReply.Slice(
                    new AllotmentId(self.incarnation(), request.budget()), lent, Long.MAX_VALUE));
    return new PeerMessage.BorrowReply(slices, exhausted);
  }

  private CompletableFuture<PeerMessage> onLoanReturned(PeerMessage.HandBack request) {
    ownSpending
        .apply(request.allotment().budget())
        .ifPresent(spending -> spending.returnLoan(request.tokens()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  /** Adds what is left of loans to what a request needs. */
  void addTo(ReservationBuilder builder, String team) {
    loans.getOrDefault(team, List.of()).forEach(loan -> builder.addFrom(loan::reserveUpTo));
  }

  /** Gives what is left of a team's loans. */
  long remainingTokens(String team) {
    return loans.getOrDefault(team, List.of()).stream().mapToLong(Loan::remainingTokens).sum();
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
    if (teamsWithoutLender.contains(team)) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> mine = new CompletableFuture<>();
    CompletableFuture<Void> current = inFlightByTeam.putIfAbsent(team, mine);
    if (current != null) {
      return current;
    }
    ask(team, needTokens, wantedTokens, lenders.stream().limit(MAX_LENDERS_ASKED).toList(), false)
        .thenAccept(
            outcome -> {
              if (outcome.missingTokens() == needTokens) {
                teamsWithoutLender.add(team);
              }
              inFlightByTeam.remove(team);
              mine.complete(null);
            });
    return mine;
  }

  /**
   * Puts together what one request lacks from what the holders of its team have ready.
   *
   * @param team the team
   * @param needTokens what is lacking
   * @param holders whom to ask, in order, until nothing is lacking
   * @return completes when enough was lent or all were asked
   */
  CompletableFuture<Void> borrowAvailable(
      String team, long needTokens, List<InstanceRecord> holders) {
    return ask(team, needTokens, needTokens, responsive(holders), false).thenApply(outcome -> null);
  }

  private List<InstanceRecord> responsive(List<InstanceRecord> holders) {
    return holders.stream().filter(holder -> !unresponsivePeers.contains(holder.id())).toList();
  }

  /**
   * Puts together what one request lacks from all that the holders of its team have, also what is
   * not ready yet, and from what the table has left.
   *
   * @param team the team
   * @param needTokens what is lacking
   * @param holders whom to ask, in order, until nothing is lacking
   * @return what is still lacking then
   */
  CompletableFuture<BorrowOutcome> borrowWithRefill(
      String team, long needTokens, List<InstanceRecord> holders) {
    if (teamsWithoutTokens.contains(team)) {
      return CompletableFuture.completedFuture(new BorrowOutcome(needTokens, true));
    }
    List<InstanceRecord> asked = responsive(holders);
    boolean allAsked = asked.size() == holders.size();
    return ask(team, needTokens, needTokens, asked, true)
        .thenApply(outcome -> outcome.exhaustedOnlyIf(allAsked))
        .thenApply(outcome -> recordOutcome(team, outcome));
  }

  private BorrowOutcome recordOutcome(String team, BorrowOutcome outcome) {
    if (outcome.isInsufficient()) {
      teamsWithoutTokens.add(team);
    }
    return outcome;
  }

  /** Asks one lender after the other. */
  private CompletableFuture<BorrowOutcome> ask(
      String team,
      long needTokens,
      long wantedTokens,
      List<InstanceRecord> lenders,
      boolean mayGrow) {
    if (lenders.isEmpty() || needTokens <= 0) {
      return CompletableFuture.completedFuture(new BorrowOutcome(needTokens, true));
    }
    InstanceRecord lender = lenders.get(0);
    List<InstanceRecord> remainingLenders = lenders.subList(1, lenders.size());
    return askOne(
            lender,
            new PeerMessage.BorrowRequest(
                nextTransferId(), team, needTokens, wantedTokens, mayGrow))
        .thenCompose(
            answer -> {
              long missing = needTokens - answer.tokens();
              return mayGrow && answer.isInconclusive()
                  ? CompletableFuture.completedFuture(new BorrowOutcome(missing, false))
                  : ask(team, missing, wantedTokens, remainingLenders, mayGrow)
                      .thenApply(rest -> rest.exhaustedOnlyIf(answer.exhausted()));
            });
  }

  /**
   * What came of asking for one request's tokens.
   *
   * @param missingTokens what is still lacking
   * @param exhausted true when all were asked and answered that neither they nor the table have
   *     more
   */
  record BorrowOutcome(long missingTokens, boolean exhausted) {

    private BorrowOutcome exhaustedOnlyIf(boolean alsoExhausted) {
      return new BorrowOutcome(missingTokens, exhausted && alsoExhausted);
    }

    /** Says whether there is surely not enough, and not only taken by another request meanwhile. */
    boolean isInsufficient() {
      return exhausted && missingTokens > 0;
    }
  }

  /** What one lender gave, and whether it said that there is no more. */
  private record LenderAnswer(long tokens, boolean exhausted) {
    private static final LenderAnswer NONE = new LenderAnswer(0, false);

    /** The lender did not answer, or could not renew: the store may be out of reach for all. */
    private boolean isInconclusive() {
      return tokens == 0 && !exhausted;
    }
  }

  /**
   * Asks one lender and waits only as long as a request can.
   *
   * <p>Failure: the lender's answer is late, for one of both machines is slow. Symptom: the lender
   * counts the tokens as spent and nobody has them. A late loan is therefore taken when it comes,
   * and what is left of it goes back with the next renewal.
   */
  private CompletableFuture<LenderAnswer> askOne(
      InstanceRecord lender, PeerMessage.BorrowRequest request) {
    CompletableFuture<LenderAnswer> borrowed = new CompletableFuture<>();
    timers.after(
        request.mayGrow() ? REFILL_ANSWER_MS : ANSWER_MS,
        () -> {
          if (borrowed.complete(LenderAnswer.NONE)) {
            recordUnanswered(lender, request);
          }
        });
    links
        .ask(lender, request, LATE_ANSWER_MS)
        .thenApply(reply -> acceptLoan(request, lender, reply))
        .exceptionally(
            error -> {
              recordUnanswered(lender, request);
              Logger.debug("no loan from {}: {}", lender.id(), Failures.unwrap(error).getMessage());
              return LenderAnswer.NONE;
            })
        .thenAccept(borrowed::complete);
    return borrowed;
  }

  private void recordUnanswered(InstanceRecord lender, PeerMessage.BorrowRequest request) {
    unresponsivePeers.add(lender.id());
    shortages.onUnanswered(request.budget());
  }

  private LenderAnswer acceptLoan(
      PeerMessage.BorrowRequest request, InstanceRecord lender, PeerMessage reply) {
    if (!(reply instanceof PeerMessage.BorrowReply borrowReply)) {
      return LenderAnswer.NONE;
    }
    if (borrowReply.slices().isEmpty()) {
      shortages.onNothingLent(request.budget());
      return new LenderAnswer(0, borrowReply.sure());
    }
    long tokens =
        borrowReply.slices().stream().mapToLong(PeerMessage.BorrowReply.Slice::tokens).sum();
    List<Loan> ofTeam =
        loans.computeIfAbsent(request.budget(), name -> new CopyOnWriteArrayList<>());
    ofTeam.removeIf(Loan::isSettled);
    ofTeam.add(new Loan(lender, tokens));
    if (tokens > request.needTokens()) {
      Logger.info(
          "tokens borrowed team={} tokens={} lender={}", request.budget(), tokens, lender.id());
    }
    return new LenderAnswer(tokens, borrowReply.sure());
  }

  /**
   * Hands back what is left of all loans, as the table can give tokens again.
   *
   * <p>Each rest is sent once: a second message after a lost reply would be taken twice.
   */
  void returnUnspent() {
    loans.keySet().forEach(this::returnUnspent);
  }

  /**
   * Hands back what is left of a team's loans.
   *
   * <p>Failure: several lenders gave a part of what a request needs, and together too little.
   * Symptom: the parts lie unused at the borrower until the store is back, while other requests of
   * the team are refused.
   */
  void returnUnspent(String name) {
    loans.computeIfPresent(
        name,
        (team, ofTeam) -> {
          Map<InstanceRecord, Long> remainingByLender =
              ofTeam.stream()
                  .collect(
                      Collectors.groupingBy(
                          Loan::lender, Collectors.summingLong(Loan::takeRemaining)));
          remainingByLender.forEach((lender, remaining) -> returnUnspent(team, lender, remaining));
          ofTeam.removeIf(Loan::isSettled);
          return ofTeam;
        });
  }

  private void returnUnspent(String team, InstanceRecord lender, long tokens) {
    if (tokens == 0) {
      return;
    }
    AllotmentId allotment = new AllotmentId(lender.incarnation(), team);
    var unused =
        links
            .ask(
                lender,
                new PeerMessage.HandBack(nextTransferId(), allotment, tokens),
                LATE_ANSWER_MS)
            .exceptionally(
                error -> {
                  Logger.warn(
                      "tokens stranded team={} tokens={} lender={}: {}",
                      team,
                      tokens,
                      lender.id(),
                      Failures.unwrap(error).getMessage());
                  return new PeerMessage.Done();
                });
  }

  private String nextTransferId() {
    return self.incarnation() + "-" + transferCount.incrementAndGet();
  }
}
