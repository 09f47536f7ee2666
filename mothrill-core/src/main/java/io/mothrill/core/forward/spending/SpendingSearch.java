package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Looks for one request's tokens: here, at the holders of its team, in the table, and where the
 * store is silent at whoever has some.
 */
final class SpendingSearch {

  /** Waits of one request, for a renewal or for the bound to open, before it is refused. */
  private static final int MAX_WAITS = 3;

  /**
   * Longest of these waits. A renewal takes about 20 ms; coming back after a refusal takes the
   * caller a second or more.
   */
  private static final long MAX_WAIT_MS = 250;

  /**
   * Longest wait for the bound to open after no instance could lend: a caller that is sent away
   * comes back no earlier, and to an instance that may have as little.
   */
  private static final long MAX_OPENING_WAIT_MS = 1_000;

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

  private final SpendingRows rows;
  private final SpendingLoans loans;
  private final SpendingRenewal renewal;
  private final SpendingRefusals refusals;
  private final SpendingLoans.Growth growth;
  private final ReadyTokens ready;
  private final Waits waits;

  SpendingSearch(
      SpendingRows rows,
      SpendingLoans loans,
      SpendingRenewal renewal,
      SpendingRefusals refusals,
      SpendingLoans.Growth growth,
      Waits waits) {
    this.rows = rows;
    this.loans = loans;
    this.renewal = renewal;
    this.refusals = refusals;
    this.growth = growth;
    this.ready = new ReadyTokens(rows, loans);
    this.waits = waits;
  }

  /** Sets tokens aside; fails with {@link SpendingException}. */
  CompletableFuture<SpendingReservation> reserve(TeamPlan team, long tokens) {
    return tryReserveOr(team, tokens, () -> reserveElsewhere(team, tokens));
  }

  private CompletableFuture<SpendingReservation> tryReserveOr(
      TeamPlan team, long tokens, Supplier<CompletableFuture<SpendingReservation>> otherwise) {
    return ready
        .tryReserve(team.name(), tokens)
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
        .borrowReady(name, ready.lackingTokens(name, tokens), rows.holders().inOrderFor(name))
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
        .borrowGrown(name, ready.lackingTokens(name, tokens), rows.holders().inOrderFor(name))
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

  private CompletableFuture<SpendingReservation> reserveAfterWait(
      TeamPlan team, long tokens, int waits) {
    long opensInMs = opensInMs(team, tokens);
    boolean renewing = !rows.isTakenOver() || renewal.isInTouch();
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
      return waits.within(new CompletableFuture<>(), Math.min(MAX_WAIT_MS, opensInMs));
    }
    SpendingRenewal.Asked asked = renewal.askFor(team, tokens);
    long limitMs = asked.isTooLate() ? MAX_WAIT_MS : asked.sentInMs() + MAX_WAIT_MS;
    return waits.within(asked.renewed(), Math.min(limitMs, opensInMs));
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
    if (rounds == 0 || renewal.sinceRenewalMs() < JUST_RENEWED_MS) {
      return reserveWhenOpen(team, tokens);
    }
    return waits
        .pause(LOAN_ROUND_MS)
        .thenCompose(
            over -> tryReserveOr(team, tokens, () -> reserveFromLoan(team, tokens, rounds)));
  }

  private CompletableFuture<Void> borrow(TeamPlan team, long tokens) {
    String name = team.name();
    long wanted = Math.max(BORROW_REQUESTS * tokens, BORROW_S * rows.demandTokensPerS(name));
    return loans.borrow(name, ready.lackingTokens(name, tokens), wanted, rows.lenders(name));
  }

  private CompletableFuture<SpendingReservation> reserveWhenOpen(TeamPlan team, long tokens) {
    long opensInMs = opensInMs(team, tokens);
    if (opensInMs > MAX_OPENING_WAIT_MS) {
      return refuse(team, tokens);
    }
    return waits
        .pause(opensInMs)
        .thenCompose(over -> tryReserveOr(team, tokens, () -> refuse(team, tokens)));
  }

  private long opensInMs(TeamPlan team, long tokens) {
    return rows.find(team.name())
        .map(spending -> spending.waitMs(tokens))
        .orElse(SpendingGrant.NEVER_MS);
  }
}
