package io.mothrill.core.forward.spending;

import io.mothrill.core.board.Section;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps this instance's row of grants renewed and sets tokens aside under it.
 *
 * <pre>{@code
 * spending.reserve(team, 1_540)
 *     .thenAccept(reservation -> reservation.settle(usedTokens));
 * }</pre>
 */
public final class SpendingController {

  /** Waits of one request, for a renewal or for the bound to open, before it is refused. */
  private static final int MAX_WAITS = 3;

  /**
   * Longest of these waits. A renewal takes about 20 ms; coming back after a refusal takes the
   * caller a second or more.
   */
  private static final long MAX_WAIT_MS = 250;

  /**
   * A renewal that is sent later than this comes too late for the request that asks for it. In a
   * fleet of hundreds the pace allows one in seconds.
   */
  private static final long MAX_PACED_MS = 700;

  /** A renewal that takes longer, once it is sent, shows that the store is slow or silent. */
  private static final long RENEWAL_MS = 150;

  /**
   * Longest wait for the bound to open after no instance could lend: a caller that is sent away
   * comes back no earlier, and to an instance that may have as little.
   */
  private static final long MAX_OPENING_WAIT_MS = 1_000;

  /** A renewal that took longer ago than this shows that the store is out of reach. */
  private static final long IN_TOUCH_MS = 1_400;

  /** A loan is for so many requests like the one that needs it, so that few loans are needed. */
  private static final long BORROW_REQUESTS = 3;

  /**
   * Rounds of asking for loans while the store is out of reach. Tokens open at the holders while a
   * request waits; sent away, its caller would come back after more than a second.
   */
  private static final int MAX_LOAN_ROUNDS = 4;

  /**
   * A request that found too little has just asked for a renewal: if the last one is older than
   * this, the store does not answer, and more rounds may help.
   */
  private static final long JUST_RENEWED_MS = 600;

  /** Pause between two rounds: a holder opens a usual request's worth in about a second. */
  private static final long LOAN_ROUND_MS = 300;

  /** A loan covers so many seconds of the demand here. */
  private static final long BORROW_S = 2;

  private final Timers timers;
  private final long startedMs;
  private final SpendingReader reader;
  private final SpendingRows rows;
  private final SpendingLoans loans;
  private final SpendingRenewal renewal;
  private final SpendingRefusals refusals;
  private final Growth growth = new Growth();

  /**
   * Creates the controller and starts to renew.
   *
   * @param self this instance; a later process on the same machine has the same id
   * @param table the platform's table
   * @param storeClock the clock of the table's store
   * @param plan the plan in force
   * @param policy how the unspent tokens are shared
   * @param timers the time
   * @param startedMs when this process had begun, by the clock of the timers; an earlier process of
   *     the same instance was dead by then
   * @param random spreads attempts after conflicts
   * @param links reaches other instances
   * @param dispatcher gets their requests
   */
  public SpendingController(
      InstanceRecord self,
      TableService table,
      StoreClock storeClock,
      Section<ForwardingPlan> plan,
      SharePolicy policy,
      Timers timers,
      long startedMs,
      RandomGenerator random,
      PeerLinks links,
      PeerDispatcher dispatcher) {
    this.timers = timers;
    this.startedMs = startedMs;
    this.reader =
        new SpendingReader(table, storeClock, timers, SpendingTables.instanceKey(self.id()));
    this.rows = new SpendingRows(self, storeClock, timers, startedMs, random, policy);
    this.loans =
        new SpendingLoans(
            links, dispatcher, timers, self, this::findLendable, growth, rows.shortages());
    this.renewal = new SpendingRenewal(table, reader, rows, plan, timers, random, loans::handBack);
    this.refusals = new SpendingRefusals(rows, reader, renewal);
  }

  /**
   * Gives the instances that have renewed their rows lately, this one included.
   *
   * @return a count; 0 until the table was read
   */
  public int instanceCount() {
    return rows.instanceCount();
  }

  /**
   * Says whether the instance has a row of its own in the table.
   *
   * @return false until the first row was written
   */
  public boolean hasRow() {
    return rows.isTakenOver();
  }

  /**
   * Says how old the own row is.
   *
   * @return milliseconds since it was last renewed; very many when it never was
   */
  public long sinceRenewalMs() {
    return renewal.sinceRenewalMs();
  }

  /**
   * Gives what is held of a team's budget here and not spent yet.
   *
   * @param team the team
   * @return tokens, some of which may open only later
   */
  public long heldTokens(String team) {
    return rows.heldTokens(team);
  }

  /**
   * Gives what no instance's limit covers of a team's budget.
   *
   * @param team the team
   * @return tokens by the last read of the table
   */
  public long unassignedTokens(TeamPlan team) {
    return rows.tokensOf(team).unassignedTokens();
  }

  /**
   * Gives what counted as spent at the start, though the last row of the process before did not
   * show it as spent.
   *
   * @return tokens of all teams
   */
  public long lostTokens() {
    return rows.lostTokens();
  }

  /**
   * Counts the requests that were refused for tokens.
   *
   * @return a count since the start
   */
  public long refusedCount() {
    return rows.shortages().refusedCount();
  }

  /**
   * Counts the refused requests that what the table had unassigned would have covered.
   *
   * @return a count since the start
   */
  public long refusedThoughUnassignedCount() {
    return rows.shortages().refusedThoughUnassignedCount();
  }

  /**
   * Lists the other instances that have renewed their rows lately.
   *
   * @return the instances, in the order of their ids
   */
  public List<InstanceRecord> others() {
    return rows.others();
  }

  /**
   * Says whether {@link #others()} holds for this moment: it was read when it was due, and this
   * process has been there for as long as others need to read of it.
   *
   * @return false after the start, and while the store is out of reach
   */
  public boolean knowsFleet() {
    return reader.isWholeViewCurrent(startedMs);
  }

  /**
   * Sets tokens aside.
   *
   * @param team the team
   * @param tokens the most that the request can cost
   * @return the reservation; fails with {@link SpendingException}
   */
  public CompletableFuture<SpendingReservation> reserve(TeamPlan team, long tokens) {
    if (team.prepaidTokens().isEmpty()) {
      return CompletableFuture.completedFuture(SpendingReservation.UNLIMITED);
    }
    return tryReserveOr(team, tokens, () -> reserveElsewhere(team, tokens));
  }

  private CompletableFuture<SpendingReservation> tryReserveOr(
      TeamPlan team, long tokens, Supplier<CompletableFuture<SpendingReservation>> otherwise) {
    return tryReserve(team.name(), tokens)
        .map(CompletableFuture::completedFuture)
        .orElseGet(otherwise);
  }

  /** Takes what the holders of the team have ready, wherever they are, then asks the table. */
  private CompletableFuture<SpendingReservation> reserveElsewhere(TeamPlan team, long tokens) {
    if (!rows.isTakenOver()) {
      return reserveAfterWait(team, tokens, MAX_WAITS);
    }
    return refusals
        .ofSpent(team, tokens)
        .map(CompletableFuture::<SpendingReservation>failedFuture)
        .orElseGet(() -> reserveFromHolders(team, tokens));
  }

  private CompletableFuture<SpendingReservation> reserveFromHolders(TeamPlan team, long tokens) {
    String name = team.name();
    return loans
        .borrowReady(name, lackingTokens(name, tokens), rows.holders().inOrderFor(name))
        .thenCompose(asked -> tryReserveOr(team, tokens, () -> reserveGrown(team, tokens)));
  }

  /** Lets the holders of the team make more ready and get more from the table, this one first. */
  private CompletableFuture<SpendingReservation> reserveGrown(TeamPlan team, long tokens) {
    if (!rows.holders().isSelf(team.name())) {
      return borrowGrown(team, tokens, true);
    }
    return growth
        .grow(team.name(), tokens)
        .orElseGet(() -> CompletableFuture.completedFuture(false))
        .thenCompose(grown -> tryReserveOr(team, tokens, () -> borrowGrown(team, tokens, grown)));
  }

  private CompletableFuture<SpendingReservation> borrowGrown(
      TeamPlan team, long tokens, boolean sureHere) {
    String name = team.name();
    return loans
        .borrowGrown(name, lackingTokens(name, tokens), rows.holders().inOrderFor(name))
        .thenCompose(
            outcome ->
                tryReserveOr(
                    team,
                    tokens,
                    () ->
                        sureHere && outcome.isNone()
                            ? reserveFromOthers(team, tokens)
                            : reserveAfterWait(team, tokens, MAX_WAITS)));
  }

  /**
   * Neither the holders nor the table have enough; other instances may hold what they did not hand
   * back.
   */
  private CompletableFuture<SpendingReservation> reserveFromOthers(TeamPlan team, long tokens) {
    if (rows.areTokensElsewhere(team.name(), tokens)) {
      return reserveAfterWait(team, tokens, MAX_WAITS);
    }
    loans.handBack(team.name());
    return refuse(team, tokens);
  }

  private CompletableFuture<SpendingReservation> refuse(TeamPlan team, long tokens) {
    return CompletableFuture.failedFuture(refusals.of(team, tokens));
  }

  private long lackingTokens(String team, long tokens) {
    long here = rows.find(team).map(TeamSpending::freeTokens).orElse(0L) + loans.leftTokens(team);
    return Math.max(1, tokens - here);
  }

  /** Gets more for loans, unless the store is out of reach. */
  private final class Growth implements SpendingLoans.Growth {

    /** The holders of all domains are asked and open a part each, together what was lacking. */
    @Override
    public void want(String team, long lackingTokens) {
      if (isInTouch() && !renewal.isLeaving()) {
        rows.wanted().add(team, partOf(lackingTokens, rows.holders().countOfEach()));
      }
    }

    private static long partOf(long tokens, int parts) {
      return (tokens + parts - 1) / parts;
    }

    @Override
    public Optional<CompletableFuture<Boolean>> grow(String team, long needTokens) {
      if (!isInTouch() || renewal.isLeaving()) {
        return Optional.empty();
      }
      if (rows.isSurelyNone(team, needTokens)) {
        return Optional.of(CompletableFuture.completedFuture(true));
      }
      long sentInMs = renewal.pauseMs();
      rows.wanted().add(team, needTokens);
      CompletableFuture<Boolean> renewed = renewal.renewSoon();
      return sentInMs > MAX_PACED_MS
          ? Optional.empty()
          : Optional.of(within(renewed, sentInMs + RENEWAL_MS));
    }
  }

  private CompletableFuture<SpendingReservation> reserveAfterWait(
      TeamPlan team, long tokens, int waits) {
    long opensInMs = opensInMs(team, tokens);
    boolean renewing = !rows.isTakenOver() || isInTouch();
    boolean useless = renewing && rows.isSurelyNone(team.name(), tokens);
    if (waits == 0 || useless || !renewing && opensInMs > MAX_WAIT_MS) {
      return reserveFromLoan(team, tokens);
    }
    return awaitTokens(team.name(), tokens, renewing, opensInMs)
        .thenCompose(
            renewed ->
                tryReserveOr(
                    team,
                    tokens,
                    () -> reserveAfterWait(team, tokens, waitsLeft(renewed, waits - 1))));
  }

  /** Completes with true when the row was renewed, and with false when it was not in time. */
  private CompletableFuture<Boolean> awaitTokens(
      String team, long tokens, boolean renewing, long opensInMs) {
    if (!renewing) {
      return within(new CompletableFuture<>(), Math.min(MAX_WAIT_MS, opensInMs));
    }
    long sentInMs = renewal.pauseMs();
    rows.wanted().add(team, tokens);
    long limitMs = sentInMs > MAX_PACED_MS ? MAX_WAIT_MS : sentInMs + MAX_WAIT_MS;
    return within(renewal.renewSoon(), Math.min(limitMs, opensInMs));
  }

  private CompletableFuture<Boolean> within(CompletableFuture<Boolean> event, long limitMs) {
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    event.thenAccept(wait::complete);
    timers.after(limitMs, () -> wait.complete(false));
    return wait;
  }

  /**
   * A renewal that is not answered soon shows that the store is silent, and lenders may help;
   * before the first row nobody can.
   */
  private int waitsLeft(boolean renewed, int waits) {
    return renewed || !rows.isTakenOver() ? waits : 0;
  }

  private CompletableFuture<SpendingReservation> reserveFromLoan(TeamPlan team, long tokens) {
    return rows.isTakenOver() && !renewal.isLeaving()
        ? reserveFromLoan(team, tokens, MAX_LOAN_ROUNDS)
        : refuse(team, tokens);
  }

  /** Asks the lenders, and asks again when more has opened at them. */
  private CompletableFuture<SpendingReservation> reserveFromLoan(
      TeamPlan team, long tokens, int rounds) {
    return borrow(team, tokens)
        .thenCompose(
            asked -> tryReserveOr(team, tokens, () -> reserveLater(team, tokens, rounds - 1)));
  }

  private CompletableFuture<SpendingReservation> reserveLater(
      TeamPlan team, long tokens, int rounds) {
    loans.handBack(team.name());
    if (rounds == 0 || sinceRenewalMs() < JUST_RENEWED_MS) {
      return reserveWhenOpen(team, tokens);
    }
    return pause(LOAN_ROUND_MS)
        .thenCompose(
            over -> tryReserveOr(team, tokens, () -> reserveFromLoan(team, tokens, rounds)));
  }

  private CompletableFuture<Void> pause(long pauseMs) {
    CompletableFuture<Void> over = new CompletableFuture<>();
    timers.after(pauseMs, () -> over.complete(null));
    return over;
  }

  private CompletableFuture<Void> borrow(TeamPlan team, long tokens) {
    String name = team.name();
    long wanted = Math.max(BORROW_REQUESTS * tokens, BORROW_S * rows.demandTokensPerS(name));
    return loans.borrow(name, lackingTokens(name, tokens), wanted, rows.lenders(name));
  }

  private CompletableFuture<SpendingReservation> reserveWhenOpen(TeamPlan team, long tokens) {
    long opensInMs = opensInMs(team, tokens);
    if (opensInMs > MAX_OPENING_WAIT_MS) {
      return refuse(team, tokens);
    }
    return pause(opensInMs)
        .thenCompose(over -> tryReserveOr(team, tokens, () -> refuse(team, tokens)));
  }

  private long opensInMs(TeamPlan team, long tokens) {
    return rows.find(team.name())
        .map(spending -> spending.waitMs(tokens))
        .orElse(SpendingGrant.NEVER_MS);
  }

  private Optional<TeamSpending> findLendable(String team) {
    return renewal.isLeaving() || !rows.isTakenOver() ? Optional.empty() : rows.find(team);
  }

  private boolean isInTouch() {
    return sinceRenewalMs() < IN_TOUCH_MS;
  }

  private Optional<SpendingReservation> tryReserve(String team, long tokens) {
    return tryOwn(team, tokens).or(() -> tryPieces(team, tokens)).map(SpendingController::once);
  }

  /** Puts together what is left here and what is left of loans. */
  private Optional<SpendingReservation> tryPieces(String team, long tokens) {
    return rows.find(team)
        .filter(spending -> loans.leftTokens(team) > 0)
        .flatMap(spending -> tryPieces(spending, team, tokens));
  }

  private Optional<SpendingReservation> tryPieces(TeamSpending spending, String team, long tokens) {
    SpendingPieces pieces = new SpendingPieces(tokens);
    pieces.addFrom(spending::reserveUpTo);
    loans.addTo(pieces, team);
    return pieces
        .whole()
        .map(
            whole -> {
              spending.noteSize(tokens);
              return whole;
            });
  }

  private Optional<SpendingReservation> tryOwn(String team, long tokens) {
    return rows.find(team)
        .filter(spending -> spending.tryReserve(tokens))
        .map(spending -> usedTokens -> spending.settle(tokens, usedTokens));
  }

  private static SpendingReservation once(SpendingReservation reservation) {
    AtomicBoolean settled = new AtomicBoolean();
    return usedTokens -> {
      if (settled.compareAndSet(false, true)) {
        reservation.settle(usedTokens);
      }
    };
  }

  /**
   * Hands back all tokens that are not spent; to be called when no request is under way any more.
   *
   * @return completes when the row was written, or could not be
   */
  public CompletableFuture<Boolean> handBack() {
    return renewal.handBack();
  }
}
