package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Finds the tokens for one request: locally, at the holders of its team, in the table, and at any
 * other instance while the store is unreachable.
 */
final class TokenReserver {

  /**
   * Maximum number of waits of one request, for a renewal or for the bound to rise, before it is
   * refused.
   */
  private static final int MAX_WAITS = 3;

  /**
   * Maximum length of one of these waits. A renewal takes about 20 ms; a retry after a refusal
   * takes the caller a second or more.
   */
  private static final long MAX_WAIT_MS = 250;

  /**
   * Maximum wait for the bound to rise after no instance could lend tokens: a caller that is
   * refused retries no earlier, and at an instance that may have just as few.
   */
  private static final long MAX_RELEASE_WAIT_MS = 1_000;

  /** Size of a loan in requests like the one that needs it, so that few loans are needed. */
  private static final long LOAN_REQUESTS = 3;

  /**
   * Maximum rounds of requests for loans while the store is unreachable. Tokens are released at the
   * holders while a request waits; after a refusal, its caller would retry only after more than a
   * second.
   */
  private static final int MAX_LOAN_ROUNDS = 4;

  /**
   * Maximum age of the last renewal at which the store counts as answering. A request that found
   * too few tokens has just asked for a renewal; if the last one is older than this, the store does
   * not answer, and more rounds may help.
   */
  private static final long RECENT_RENEWAL_MS = 600;

  /**
   * Pause between two rounds: a holder releases the tokens of a typical request in about a second.
   */
  private static final long LOAN_RETRY_MS = 300;

  /** Seconds of this instance's demand that a loan covers. */
  private static final long LOAN_DEMAND_S = 2;

  private final SpendingState state;
  private final SpendingLoans loans;
  private final SpendingRenewal renewal;
  private final SpendingRefusals refusals;
  private final SpendingLoans.Refill refill;
  private final LocalTokens localTokens;
  private final Timeouts timeouts;

  TokenReserver(
      SpendingState state,
      SpendingLoans loans,
      SpendingRenewal renewal,
      SpendingRefusals refusals,
      SpendingLoans.Refill refill,
      Timeouts timeouts) {
    this.state = state;
    this.loans = loans;
    this.renewal = renewal;
    this.refusals = refusals;
    this.refill = refill;
    this.localTokens = new LocalTokens(state, loans);
    this.timeouts = timeouts;
  }

  /** Reserves tokens; fails with {@link SpendingException}. */
  CompletableFuture<SpendingReservation> reserve(TeamPlan team, long tokens) {
    return tryReserveOr(team, tokens, () -> reserveElsewhere(team, tokens));
  }

  private CompletableFuture<SpendingReservation> tryReserveOr(
      TeamPlan team, long tokens, Supplier<CompletableFuture<SpendingReservation>> otherwise) {
    return localTokens
        .tryReserve(team.name(), tokens)
        .map(CompletableFuture::completedFuture)
        .orElseGet(otherwise);
  }

  /** Borrows the available tokens of the team's holders in all domains, then asks the table. */
  private CompletableFuture<SpendingReservation> reserveElsewhere(TeamPlan team, long tokens) {
    if (!state.isInitialized()) {
      return reserveAfterWait(team, tokens, MAX_WAITS);
    }
    return refusals
        .ifBudgetSpent(team, tokens)
        .map(CompletableFuture::<SpendingReservation>failedFuture)
        .orElseGet(() -> reserveFromHolders(team, tokens));
  }

  private CompletableFuture<SpendingReservation> reserveFromHolders(TeamPlan team, long tokens) {
    String name = team.name();
    return loans
        .borrowAvailable(
            name, localTokens.missingTokens(name, tokens), state.holders().otherHolders(name))
        .thenCompose(asked -> tryReserveOr(team, tokens, () -> reserveWithRefill(team, tokens)));
  }

  /**
   * Makes the holders of the team release more and get more from the table, starting with this
   * instance.
   */
  private CompletableFuture<SpendingReservation> reserveWithRefill(TeamPlan team, long tokens) {
    if (!state.holders().isHeldBySelf(team.name())) {
      return borrowWithRefill(team, tokens, true);
    }
    return refill
        .refill(team.name(), tokens)
        .orElseGet(() -> CompletableFuture.completedFuture(false))
        .thenCompose(
            refilled -> tryReserveOr(team, tokens, () -> borrowWithRefill(team, tokens, refilled)));
  }

  private CompletableFuture<SpendingReservation> borrowWithRefill(
      TeamPlan team, long tokens, boolean exhaustedHere) {
    String name = team.name();
    return loans
        .borrowWithRefill(
            name, localTokens.missingTokens(name, tokens), state.holders().otherHolders(name))
        .thenCompose(
            outcome ->
                tryReserveOr(
                    team,
                    tokens,
                    () ->
                        exhaustedHere && outcome.isInsufficient()
                            ? reserveFromNonHolders(team, tokens)
                            : reserveAfterWait(team, tokens, MAX_WAITS)));
  }

  /**
   * Handles the case that neither the holders nor the table have enough; other instances may hold
   * tokens that they did not return.
   */
  private CompletableFuture<SpendingReservation> reserveFromNonHolders(TeamPlan team, long tokens) {
    if (state.isHeldOutsideHolders(team.name(), tokens)) {
      return reserveAfterWait(team, tokens, MAX_WAITS);
    }
    loans.returnUnspent(team.name());
    return refuse(team, tokens);
  }

  private CompletableFuture<SpendingReservation> refuse(TeamPlan team, long tokens) {
    return CompletableFuture.failedFuture(refusals.refusalFor(team, tokens));
  }

  private CompletableFuture<SpendingReservation> reserveAfterWait(
      TeamPlan team, long tokens, int waits) {
    long releasedInMs = releasedInMs(team, tokens);
    boolean renewing = !state.isInitialized() || renewal.isStoreReachable();
    boolean futile = renewing && state.isKnownInsufficient(team.name(), tokens);
    if (waits == 0 || futile || !renewing && releasedInMs > MAX_WAIT_MS) {
      return reserveFromLoan(team, tokens);
    }
    return awaitTokens(team.name(), tokens, renewing, releasedInMs)
        .thenCompose(
            renewed ->
                tryReserveOr(
                    team,
                    tokens,
                    () -> reserveAfterWait(team, tokens, waitsLeft(renewed, waits - 1))));
  }

  /**
   * Waits for tokens. Completes with true when the row was renewed, and with false when it was not
   * renewed in time.
   */
  private CompletableFuture<Boolean> awaitTokens(
      String team, long tokens, boolean renewing, long releasedInMs) {
    if (!renewing) {
      return timeouts.completeWithin(
          new CompletableFuture<>(), Math.min(MAX_WAIT_MS, releasedInMs));
    }
    SpendingRenewal.RequestedRenewal requested = renewal.requestTokens(team, tokens);
    long limitMs = requested.isTooLate() ? MAX_WAIT_MS : requested.delayMs() + MAX_WAIT_MS;
    return timeouts.completeWithin(requested.renewed(), Math.min(limitMs, releasedInMs));
  }

  /**
   * Returns how many waits remain. A renewal that is not answered soon shows that the store is
   * unreachable, and lenders may help instead; before the first row no instance can.
   */
  private int waitsLeft(boolean renewed, int waits) {
    return renewed || !state.isInitialized() ? waits : 0;
  }

  private CompletableFuture<SpendingReservation> reserveFromLoan(TeamPlan team, long tokens) {
    return state.isInitialized() && !renewal.isReturningAll()
        ? reserveFromLoan(team, tokens, MAX_LOAN_ROUNDS)
        : refuse(team, tokens);
  }

  /** Asks the lenders, and asks again when they have released more tokens. */
  private CompletableFuture<SpendingReservation> reserveFromLoan(
      TeamPlan team, long tokens, int rounds) {
    return borrow(team, tokens)
        .thenCompose(
            asked -> tryReserveOr(team, tokens, () -> reserveLater(team, tokens, rounds - 1)));
  }

  private CompletableFuture<SpendingReservation> reserveLater(
      TeamPlan team, long tokens, int rounds) {
    loans.returnUnspent(team.name());
    if (rounds == 0 || renewal.renewalAgeMs() < RECENT_RENEWAL_MS) {
      return reserveWhenReleased(team, tokens);
    }
    return timeouts
        .delay(LOAN_RETRY_MS)
        .thenCompose(
            elapsed -> tryReserveOr(team, tokens, () -> reserveFromLoan(team, tokens, rounds)));
  }

  private CompletableFuture<Void> borrow(TeamPlan team, long tokens) {
    String name = team.name();
    long wanted = Math.max(LOAN_REQUESTS * tokens, LOAN_DEMAND_S * state.demandTokensPerS(name));
    return loans.borrow(name, localTokens.missingTokens(name, tokens), wanted, state.lenders(name));
  }

  private CompletableFuture<SpendingReservation> reserveWhenReleased(TeamPlan team, long tokens) {
    long releasedInMs = releasedInMs(team, tokens);
    if (releasedInMs > MAX_RELEASE_WAIT_MS) {
      return refuse(team, tokens);
    }
    return timeouts
        .delay(releasedInMs)
        .thenCompose(elapsed -> tryReserveOr(team, tokens, () -> refuse(team, tokens)));
  }

  private long releasedInMs(TeamPlan team, long tokens) {
    return state
        .find(team.name())
        .map(spending -> spending.waitMs(tokens))
        .orElse(SpendingGrant.NEVER_MS);
  }
}
