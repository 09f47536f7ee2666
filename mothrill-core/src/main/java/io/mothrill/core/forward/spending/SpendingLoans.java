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
  private static final int MAX_ASKED = 3;

  /** Pause after a team found no lender, so that a spent budget costs few messages. */
  private static final long NO_LENDER_PAUSE_MS = 200;

  /** A reply that comes later than the borrower waits is still taken, and handed back. */
  private static final long LATE_ANSWER_MS = 2_000;

  /** A holder that has just not answered is passed over for so long, and the table is asked. */
  private static final long SILENT_PAUSE_MS = 1_000;

  /** A lender that makes more ready answers after its renewal, which is paced in a large fleet. */
  private static final long GROWN_ANSWER_MS = 1_000;

  /** Part of what a lender has over that one loan may take. */
  private static final long LENT_DIVISOR = 2;

  private final PeerLinks links;
  private final Timers timers;
  private final InstanceRecord self;
  private final Function<String, Optional<TeamSpending>> ownSpending;
  private final Growth growth;
  private final ShortageLog shortages;
  private final Map<String, List<Loan>> loans = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Void>> underWay = new ConcurrentHashMap<>();
  private final RecentMarks teamsWithoutLender;
  private final RecentMarks teamsWithoutTokens;
  private final RecentMarks silentPeers;
  private final AtomicLong transferCount = new AtomicLong();

  SpendingLoans(
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      InstanceRecord self,
      Function<String, Optional<TeamSpending>> ownSpending,
      Growth growth,
      ShortageLog shortages) {
    this.growth = growth;
    this.shortages = shortages;
    this.links = links;
    this.timers = timers;
    this.self = self;
    this.ownSpending = ownSpending;
    this.teamsWithoutLender = new RecentMarks(timers, NO_LENDER_PAUSE_MS);
    this.teamsWithoutTokens = new RecentMarks(timers, NO_LENDER_PAUSE_MS);
    this.silentPeers = new RecentMarks(timers, SILENT_PAUSE_MS);
    dispatcher.on(PeerMessage.BorrowRequest.class, this::lend);
    dispatcher.on(PeerMessage.HandBack.class, this::takeBack);
  }

  /** Gets tokens from the table for a loan that is larger than what is ready here. */
  interface Growth {

    /** Has so much more ready with the next row, if the store is in reach. */
    void want(String team, long lackingTokens);

    /**
     * Asks for tokens; completes with true when the own row was renewed and shows all that the
     * table can give, and with false when it was not in time. Gives nothing out of touch.
     */
    Optional<CompletableFuture<Boolean>> grow(String team, long needTokens);
  }

  /**
   * Lends what is ready, and has more ready with the next row if it was too little.
   *
   * <p>Failure: a team's demand moves to a domain whose holder has used what it held, while those
   * of the other domains hold much and have little of it ready. Symptom: second after second its
   * requests find each of them empty. What was lacking shows how much more has to be ready.
   */
  private CompletableFuture<PeerMessage> lend(PeerMessage.BorrowRequest request) {
    return request.mayGrow() ? lendGrown(request) : lendReady(request);
  }

  private CompletableFuture<PeerMessage> lendReady(PeerMessage.BorrowRequest request) {
    long lent = tryLend(request, request.needTokens());
    if (lent < request.needTokens()) {
      growth.want(request.budget(), request.needTokens() - lent);
    }
    return CompletableFuture.completedFuture(replyWith(request, lent, false));
  }

  private CompletableFuture<PeerMessage> lendGrown(PeerMessage.BorrowRequest request) {
    long lent = tryLend(request, request.needTokens());
    long lacking = request.needTokens() - lent;
    if (lacking <= 0) {
      return CompletableFuture.completedFuture(replyWith(request, lent, false));
    }
    return growth
        .grow(request.budget(), lacking)
        .map(growing -> lendOnceGrown(request, lent, growing))
        .orElseGet(() -> CompletableFuture.completedFuture(replyWith(request, lent, false)));
  }

  private CompletableFuture<PeerMessage> lendOnceGrown(
      PeerMessage.BorrowRequest request, long lent, CompletableFuture<Boolean> growing) {
    return growing.thenApply(
        renewed -> {
          long more = tryLend(request, request.needTokens() - lent);
          boolean sure = renewed && lent + more < request.needTokens();
          return replyWith(request, lent + more, sure);
        });
  }

  private long tryLend(PeerMessage.BorrowRequest request, long needTokens) {
    long wantedTokens = Math.max(needTokens, request.wantedTokens());
    return ownSpending
        .apply(request.budget())
        .map(spending -> spending.lend(needTokens, wantedTokens, LENT_DIVISOR))
        .orElse(0L);
  }

  private PeerMessage replyWith(PeerMessage.BorrowRequest request, long lent, boolean sure) {
    if (lent > request.needTokens()) {
      Logger.info("tokens lent team={} tokens={}", request.budget(), lent);
    }
    List<PeerMessage.BorrowReply.Slice> slices =
        lent == 0
            ? List.of()
            : List.of(
                new PeerMessage.BorrowReply.Slice(
                    new AllotmentId(self.incarnation(), request.budget()), lent, Long.MAX_VALUE));
    return new PeerMessage.BorrowReply(slices, sure);
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
    if (teamsWithoutLender.isRecent(team)) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> mine = new CompletableFuture<>();
    CompletableFuture<Void> current = underWay.putIfAbsent(team, mine);
    if (current != null) {
      return current;
    }
    ask(team, needTokens, wantedTokens, lenders.stream().limit(MAX_ASKED).toList(), false)
        .thenAccept(
            outcome -> {
              if (outcome.missingTokens() == needTokens) {
                teamsWithoutLender.mark(team);
              }
              underWay.remove(team);
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
  CompletableFuture<Void> borrowReady(String team, long needTokens, List<InstanceRecord> holders) {
    return ask(team, needTokens, needTokens, answering(holders), false).thenApply(outcome -> null);
  }

  private List<InstanceRecord> answering(List<InstanceRecord> holders) {
    return holders.stream().filter(holder -> !silentPeers.isRecent(holder.id())).toList();
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
  CompletableFuture<Outcome> borrowGrown(
      String team, long needTokens, List<InstanceRecord> holders) {
    if (teamsWithoutTokens.isRecent(team)) {
      return CompletableFuture.completedFuture(new Outcome(needTokens, true));
    }
    List<InstanceRecord> asked = answering(holders);
    boolean all = asked.size() == holders.size();
    return ask(team, needTokens, needTokens, asked, true)
        .thenApply(outcome -> outcome.onlyIf(all))
        .thenApply(outcome -> note(team, outcome));
  }

  private Outcome note(String team, Outcome outcome) {
    if (outcome.isNone()) {
      teamsWithoutTokens.mark(team);
    }
    return outcome;
  }

  /** Asks one lender after the other. */
  private CompletableFuture<Outcome> ask(
      String team,
      long needTokens,
      long wantedTokens,
      List<InstanceRecord> lenders,
      boolean mayGrow) {
    if (lenders.isEmpty() || needTokens <= 0) {
      return CompletableFuture.completedFuture(new Outcome(needTokens, true));
    }
    InstanceRecord lender = lenders.get(0);
    List<InstanceRecord> next = lenders.subList(1, lenders.size());
    return askOne(
            lender,
            new PeerMessage.BorrowRequest(nextTransfer(), team, needTokens, wantedTokens, mayGrow))
        .thenCompose(
            answer -> {
              long missing = needTokens - answer.tokens();
              return mayGrow && answer.isNoneForNow()
                  ? CompletableFuture.completedFuture(new Outcome(missing, false))
                  : ask(team, missing, wantedTokens, next, mayGrow)
                      .thenApply(rest -> rest.onlyIf(answer.sure()));
            });
  }

  /**
   * What came of asking for one request's tokens.
   *
   * @param missingTokens what is still lacking
   * @param sure true when all were asked and answered that neither they nor the table have more
   */
  record Outcome(long missingTokens, boolean sure) {

    private Outcome onlyIf(boolean alsoSure) {
      return new Outcome(missingTokens, sure && alsoSure);
    }

    /** Says whether there is surely not enough, and not only taken by another request meanwhile. */
    boolean isNone() {
      return sure && missingTokens > 0;
    }
  }

  /** What one lender gave, and whether it said that there is no more. */
  private record Answer(long tokens, boolean sure) {
    private static final Answer NONE = new Answer(0, false);

    /** The lender did not answer, or could not renew: the store may be out of reach for all. */
    private boolean isNoneForNow() {
      return tokens == 0 && !sure;
    }
  }

  /**
   * Asks one lender and waits only as long as a request can.
   *
   * <p>Failure: the lender's answer is late, for one of both machines is slow. Symptom: the lender
   * counts the tokens as spent and nobody has them. A late loan is therefore taken when it comes,
   * and what is left of it goes back with the next renewal.
   */
  private CompletableFuture<Answer> askOne(
      InstanceRecord lender, PeerMessage.BorrowRequest request) {
    CompletableFuture<Answer> borrowed = new CompletableFuture<>();
    timers.after(
        request.mayGrow() ? GROWN_ANSWER_MS : ANSWER_MS,
        () -> {
          if (borrowed.complete(Answer.NONE)) {
            noteUnanswered(lender, request);
          }
        });
    links
        .ask(lender, request, LATE_ANSWER_MS)
        .thenApply(reply -> take(request, lender, reply))
        .exceptionally(
            error -> {
              noteUnanswered(lender, request);
              Logger.debug("no loan from {}: {}", lender.id(), Failures.unwrap(error).getMessage());
              return Answer.NONE;
            })
        .thenAccept(borrowed::complete);
    return borrowed;
  }

  private void noteUnanswered(InstanceRecord lender, PeerMessage.BorrowRequest request) {
    silentPeers.mark(lender.id());
    shortages.onUnanswered(request.budget());
  }

  private Answer take(PeerMessage.BorrowRequest request, InstanceRecord lender, PeerMessage reply) {
    if (!(reply instanceof PeerMessage.BorrowReply given)) {
      return Answer.NONE;
    }
    if (given.slices().isEmpty()) {
      shortages.onEmpty(request.budget());
      return new Answer(0, given.sure());
    }
    long tokens = given.slices().stream().mapToLong(PeerMessage.BorrowReply.Slice::tokens).sum();
    List<Loan> ofTeam =
        loans.computeIfAbsent(request.budget(), name -> new CopyOnWriteArrayList<>());
    ofTeam.removeIf(Loan::isOver);
    ofTeam.add(new Loan(lender, tokens));
    if (tokens > request.needTokens()) {
      Logger.info(
          "tokens borrowed team={} tokens={} lender={}", request.budget(), tokens, lender.id());
    }
    return new Answer(tokens, given.sure());
  }

  /**
   * Hands back what is left of all loans, as the table can give tokens again.
   *
   * <p>Each rest is sent once: a second message after a lost reply would be taken twice.
   */
  void handBack() {
    loans.keySet().forEach(this::handBack);
  }

  /**
   * Hands back what is left of a team's loans.
   *
   * <p>Failure: several lenders gave a part of what a request needs, and together too little.
   * Symptom: the parts lie unused at the borrower until the store is back, while other requests of
   * the team are refused.
   */
  void handBack(String name) {
    loans.computeIfPresent(
        name,
        (team, ofTeam) -> {
          Map<InstanceRecord, Long> rests =
              ofTeam.stream()
                  .collect(
                      Collectors.groupingBy(Loan::lender, Collectors.summingLong(Loan::takeRest)));
          rests.forEach((lender, rest) -> handBack(team, lender, rest));
          ofTeam.removeIf(Loan::isOver);
          return ofTeam;
        });
  }

  private void handBack(String team, InstanceRecord lender, long tokens) {
    if (tokens == 0) {
      return;
    }
    AllotmentId allotment = new AllotmentId(lender.incarnation(), team);
    var unused =
        links
            .ask(
                lender, new PeerMessage.HandBack(nextTransfer(), allotment, tokens), LATE_ANSWER_MS)
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

  private String nextTransfer() {
    return self.incarnation() + "-" + transferCount.incrementAndGet();
  }
}
