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
 * Lends and borrows tokens between instances when the table cannot move them, or not soon enough.
 *
 * <p>A lender reserves the tokens of a loan as if it had spent them, below its own bound. A reader
 * of its row after a crash therefore counts the loan as spent, and the budget holds whatever
 * happens to the lender, the borrower and their messages. A lost message only leaves tokens unused.
 */
final class SpendingLoans {

  /**
   * Timeout for a lender: a nearby peer answers within some milliseconds; one that does not is
   * partitioned or busy.
   */
  private static final long ANSWER_MS = 150;

  /** Maximum number of peers that are asked one after the other for one request. */
  private static final int MAX_LENDERS_ASKED = 3;

  /** Pause after no lender was found for a team, so that a spent budget causes few messages. */
  private static final long NO_LENDER_PAUSE_MS = 200;

  /**
   * Timeout of a message. A reply that arrives after the borrower has stopped waiting is still
   * accepted, and its tokens are returned.
   */
  private static final long LATE_ANSWER_MS = 2_000;

  /** Time for which a holder that did not answer is skipped; the table is asked instead. */
  private static final long UNRESPONSIVE_PEER_PAUSE_MS = 1_000;

  /**
   * Timeout for a lender that gets more tokens first: it answers after its renewal, which is
   * delayed in a large fleet.
   */
  private static final long REFILL_ANSWER_MS = 1_000;

  /** One loan may take the available tokens of the lender divided by this number. */
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

  /** Gets tokens from the table for a loan that exceeds the available tokens. */
  interface Refill {

    /** Requests this many more immediate tokens with the next row, if the store is reachable. */
    void requestWithNextRenewal(String team, long missingTokens);

    /**
     * Requests tokens. Completes with true when the own row was renewed and shows all that the
     * table can give, and with false when it was not renewed in time. Empty if the store is
     * unreachable.
     */
    Optional<CompletableFuture<Boolean>> refill(String team, long needTokens);
  }

  /**
   * Lends the available tokens, and requests more with the next row if they were too few.
   *
   * <p>When a team's demand moves to a domain whose holder has used its tokens, the holders of the
   * other domains hold many tokens but few that are immediate, and the team's requests find each of
   * them without available tokens second after second. The shortage determines how many more tokens
   * must be immediate.
   */
  private CompletableFuture<PeerMessage> lend(PeerMessage.BorrowRequest request) {
    return request.mayRefill() ? lendWithRefill(request) : lendAvailable(request);
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

  /** Adds the rest of a team's loans to a request's reservation. */
  void addTo(ReservationBuilder builder, String team) {
    loans.getOrDefault(team, List.of()).forEach(loan -> builder.addFrom(loan::reserveUpTo));
  }

  /** Returns the remaining tokens of a team's loans. */
  long remainingTokens(String team) {
    return loans.getOrDefault(team, List.of()).stream().mapToLong(Loan::remainingTokens).sum();
  }

  /**
   * Borrows tokens; calls for the same team that arrive meanwhile share one round of messages.
   *
   * @param team the team
   * @param needTokens the missing tokens, from one lender or several
   * @param wantedTokens the preferred amount from each lender
   * @param lenders the instances to ask, in order
   * @return completes when the lenders were asked, whatever they lent
   */
  CompletableFuture<Void> borrow(
      String team, long needTokens, long wantedTokens, List<InstanceRecord> lenders) {
    if (teamsWithoutLender.contains(team)) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> result = new CompletableFuture<>();
    CompletableFuture<Void> inFlight = inFlightByTeam.putIfAbsent(team, result);
    if (inFlight != null) {
      return inFlight;
    }
    ask(team, needTokens, wantedTokens, lenders.stream().limit(MAX_LENDERS_ASKED).toList(), false)
        .thenAccept(
            outcome -> {
              if (outcome.missingTokens() == needTokens) {
                teamsWithoutLender.add(team);
              }
              inFlightByTeam.remove(team);
              result.complete(null);
            });
    return result;
  }

  /**
   * Borrows the tokens that one request lacks from the available tokens of its team's holders.
   *
   * @param team the team
   * @param needTokens the missing tokens
   * @param holders the instances to ask, in order, until nothing is missing
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
   * Borrows the tokens that one request lacks from all that its team's holders have, including
   * tokens that are not released yet, and from the unassigned tokens in the table.
   *
   * @param team the team
   * @param needTokens the missing tokens
   * @param holders the instances to ask, in order, until nothing is missing
   * @return the tokens that are still missing afterwards
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

  /** Asks the lenders one after the other. */
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
   * The result of borrowing tokens for one request.
   *
   * @param missingTokens the tokens that are still missing
   * @param exhausted true when all lenders were asked and answered that neither they nor the table
   *     have more
   */
  record BorrowOutcome(long missingTokens, boolean exhausted) {

    private BorrowOutcome exhaustedOnlyIf(boolean alsoExhausted) {
      return new BorrowOutcome(missingTokens, exhausted && alsoExhausted);
    }

    /**
     * Checks whether there are definitely too few tokens, and not only because another request has
     * taken them meanwhile.
     */
    boolean isInsufficient() {
      return exhausted && missingTokens > 0;
    }
  }

  /** The tokens that one lender lent, and whether it reported that there are no more. */
  private record LenderAnswer(long tokens, boolean exhausted) {
    private static final LenderAnswer NONE = new LenderAnswer(0, false);

    /**
     * Checks whether the lender did not answer or could not renew its row: the store may be
     * unreachable for all instances.
     */
    private boolean isInconclusive() {
      return tokens == 0 && !exhausted;
    }
  }

  /**
   * Asks one lender and waits only as long as a request can.
   *
   * <p>A lender's answer may arrive too late when one of the two machines is slow. If it were
   * discarded, the lender would count the tokens as spent and no instance could use them. A late
   * loan is therefore accepted when it arrives, and the rest of it is returned after the next
   * renewal.
   */
  private CompletableFuture<LenderAnswer> askOne(
      InstanceRecord lender, PeerMessage.BorrowRequest request) {
    CompletableFuture<LenderAnswer> answer = new CompletableFuture<>();
    timers.after(
        request.mayRefill() ? REFILL_ANSWER_MS : ANSWER_MS,
        () -> {
          if (answer.complete(LenderAnswer.NONE)) {
            recordUnanswered(lender, request);
          }
        });
    links
        .request(lender, request, LATE_ANSWER_MS)
        .thenApply(reply -> acceptLoan(request, lender, reply))
        .exceptionally(
            error -> {
              recordUnanswered(lender, request);
              Logger.debug(
                  "loan request to {} failed: {}",
                  lender.id(),
                  Failures.unwrap(error).getMessage());
              return LenderAnswer.NONE;
            })
        .thenAccept(answer::complete);
    return answer;
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
      return new LenderAnswer(0, borrowReply.conclusive());
    }
    long tokens =
        borrowReply.slices().stream().mapToLong(PeerMessage.BorrowReply.Slice::tokens).sum();
    List<Loan> teamLoans =
        loans.computeIfAbsent(request.budget(), name -> new CopyOnWriteArrayList<>());
    teamLoans.removeIf(Loan::isSettled);
    teamLoans.add(new Loan(lender, tokens));
    if (tokens > request.needTokens()) {
      Logger.info(
          "tokens borrowed team={} tokens={} lender={}", request.budget(), tokens, lender.id());
    }
    return new LenderAnswer(tokens, borrowReply.conclusive());
  }

  /**
   * Returns the rest of all loans, because the table can grant tokens again.
   *
   * <p>Each rest is sent once: a second message after a lost reply would be counted twice.
   */
  void returnUnspent() {
    loans.keySet().forEach(this::returnUnspent);
  }

  /**
   * Returns the rest of a team's loans.
   *
   * <p>Several lenders may have given parts of a request's tokens that are too few together. These
   * parts would otherwise stay unused at the borrower until the store is reachable again, while
   * other requests of the team are refused.
   */
  void returnUnspent(String name) {
    loans.computeIfPresent(
        name,
        (team, teamLoans) -> {
          Map<InstanceRecord, Long> remainingByLender =
              teamLoans.stream()
                  .collect(
                      Collectors.groupingBy(
                          Loan::lender, Collectors.summingLong(Loan::takeRemaining)));
          remainingByLender.forEach((lender, remaining) -> returnUnspent(team, lender, remaining));
          teamLoans.removeIf(Loan::isSettled);
          return teamLoans;
        });
  }

  private void returnUnspent(String team, InstanceRecord lender, long tokens) {
    if (tokens == 0) {
      return;
    }
    AllotmentId allotment = new AllotmentId(lender.incarnation(), team);
    var unused =
        links
            .request(
                lender,
                new PeerMessage.HandBack(nextTransferId(), allotment, tokens),
                LATE_ANSWER_MS)
            .exceptionally(
                error -> {
                  Logger.warn(
                      "loan not returned team={} tokens={} lender={}: {}",
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
