package io.mothrill.core.forward.spending;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/** Renews this instance's row: in each period, and when requests lack tokens. */
final class SpendingRenewal {

  /** How often the row is renewed: a crash loses what was near, which is sized for seconds. */
  static final long PERIOD_MS = 1_000;

  /**
   * How often it is looked whether a renewal is due.
   *
   * <p>Failure: an instance that was cut off for long reaches the store for a second between two
   * cuts, and its next attempt is due later. Symptom: its row shows what it had spent before the
   * first cut, and if it dies, all that it held counts as spent: up to a tenth of a budget was seen
   * to go that way. In a silence it tries four times a second.
   */
  private static final long DUE_CHECK_MS = 250;

  /** The longest time from one renewal to the next while the store answers. */
  static final long MAX_PERIOD_MS = PERIOD_MS + DUE_CHECK_MS;

  /**
   * A read that takes longer may hang on a connection that has gone silent: another one is begun
   * beside it, and the first that is answered counts.
   */
  private static final long STALLED_READ_MS = 240;

  /** Least pause between two renewals that requests ask for, so that several share one. */
  static final long MIN_ON_DEMAND_INTERVAL_MS = 40;

  /** Attempts of one renewal when other instances change the same rows at the same time. */
  private static final int MAX_ATTEMPTS = 8;

  /**
   * Attempts that may move tokens; the others only renew the own row, which no one else changes.
   */
  private static final int TRANSFER_ATTEMPTS = 3;

  /** Longest pause before the second of these attempts, doubled for each one after it. */
  private static final int CONFLICT_BACKOFF_MS = 40;

  /**
   * Renewals that requests may ask for in one second, all instances together: a part of a table
   * that writes each transaction in 5 ms takes 200, and conflicts need some of them.
   */
  private static final long ON_DEMAND_WRITES_PER_S = 150;

  /**
   * A renewal that is sent later than this comes too late for the request that asks for it. In a
   * fleet of hundreds the pace allows one in seconds.
   */
  private static final long MAX_ON_DEMAND_DELAY_MS = 700;

  /** A renewal that took longer ago than this shows that the store is out of reach. */
  private static final long STORE_REACHABLE_MS = 1_400;

  private static final long MS_PER_S = 1_000;

  private final TableService table;
  private final SpendingReader reader;
  private final SpendingState state;
  private final PublishedValue<ForwardingPlan> plan;
  private final Timers timers;
  private final RandomGenerator random;
  private final Runnable onRenewed;
  private final ConcurrentRenewals renewals;
  private final AtomicBoolean returningAll = new AtomicBoolean();
  private volatile long renewedMs = Long.MIN_VALUE / 2;
  private long lastOnDemandMs = Long.MIN_VALUE / 2;
  private CompletableFuture<Boolean> scheduled;

  /**
   * Starts to renew.
   *
   * @param table the platform's table
   * @param reader reads what a renewal is written on
   * @param state works out the next row
   * @param plan the plan in force
   * @param timers the time
   * @param random spreads attempts after conflicts
   * @param onRenewed runs after each row that was written
   */
  SpendingRenewal(
      TableService table,
      SpendingReader reader,
      SpendingState state,
      PublishedValue<ForwardingPlan> plan,
      Timers timers,
      RandomGenerator random,
      Runnable onRenewed) {
    this.table = table;
    this.reader = reader;
    this.state = state;
    this.plan = plan;
    this.timers = timers;
    this.random = random;
    this.onRenewed = onRenewed;
    this.renewals = new ConcurrentRenewals(timers, STALLED_READ_MS);
    timers.after(0, this::renew);
    timers.every(DUE_CHECK_MS, this::renewIfDue);
  }

  /** Says how old the row is; very many milliseconds when none was written. */
  long renewalAgeMs() {
    return timers.nowMs() - renewedMs;
  }

  boolean isReturningAll() {
    return returningAll.get();
  }

  /** Renews with nothing held any more. */
  CompletableFuture<Boolean> returnUnspentTokens() {
    returningAll.set(true);
    return renew();
  }

  /** Says whether the store has answered lately. */
  boolean isStoreReachable() {
    return renewalAgeMs() < STORE_REACHABLE_MS;
  }

  /**
   * A renewal that a request has asked for.
   *
   * @param delayMs how long it takes until it is sent
   * @param renewed completes with true when it was written
   */
  record RequestedRenewal(long delayMs, CompletableFuture<Boolean> renewed) {

    boolean isTooLate() {
      return delayMs > MAX_ON_DEMAND_DELAY_MS;
    }
  }

  /** Asks for tokens with the next renewal. */
  RequestedRenewal requestTokens(String team, long tokens) {
    long delayMs = onDemandDelayMs();
    state.wanted().add(team, tokens);
    return new RequestedRenewal(delayMs, renewSoon());
  }

  /** Renews at once or when the pace allows it, together with whoever asks meanwhile. */
  private CompletableFuture<Boolean> renewSoon() {
    return isDueNow() ? renewForRequests() : scheduledRenewal();
  }

  private synchronized boolean isDueNow() {
    boolean due = scheduled == null && onDemandDelayMs() == 0;
    lastOnDemandMs = due ? timers.nowMs() : lastOnDemandMs;
    return due;
  }

  private synchronized CompletableFuture<Boolean> scheduledRenewal() {
    if (scheduled == null) {
      scheduled = new CompletableFuture<>();
      timers.after(onDemandDelayMs(), this::renewScheduled);
    }
    return scheduled;
  }

  private void renewScheduled() {
    CompletableFuture<Boolean> renewed;
    synchronized (this) {
      renewed = scheduled;
      scheduled = null;
      lastOnDemandMs = timers.nowMs();
    }
    renewForRequests().thenAccept(renewed::complete);
  }

  /** A renewal that was under way already does not bring what was asked for since it began. */
  private CompletableFuture<Boolean> renewForRequests() {
    return renew()
        .thenCompose(
            renewed ->
                renewed && !state.wanted().isEmpty()
                    ? renew()
                    : CompletableFuture.completedFuture(renewed));
  }

  private synchronized long onDemandDelayMs() {
    return Math.max(0, minOnDemandIntervalMs() - (timers.nowMs() - lastOnDemandMs));
  }

  /**
   * Gives the least pause between two renewals that requests ask for.
   *
   * <p>Failure: each of many instances renews whenever a request lacks tokens. Symptom: writes
   * queue at the table until most of them conflict, and no instance gets tokens any more. Together
   * they stay below what the table takes.
   */
  private long minOnDemandIntervalMs() {
    return Math.max(
        MIN_ON_DEMAND_INTERVAL_MS, state.instanceCount() * MS_PER_S / ON_DEMAND_WRITES_PER_S);
  }

  private void renewIfDue() {
    if (renewalAgeMs() >= PERIOD_MS - DUE_CHECK_MS / 2) {
      renew();
    }
  }

  /** Renews the row, or joins the renewal that is under way. */
  private CompletableFuture<Boolean> renew() {
    ConcurrentRenewals.Renewal renewal = renewals.join();
    if (renewal.tryStart()) {
      attempt(MAX_ATTEMPTS, state.drawRebalance(), renewal);
    }
    return renewal.result();
  }

  /** Reads and writes; begins again when other instances have changed the rows in between. */
  private void attempt(int attemptsLeft, boolean rebalance, ConcurrentRenewals.Renewal renewal) {
    Map<String, Long> wanted = state.wanted().current();
    boolean mayTransfer =
        returningAll.get()
            || attemptsLeft > MAX_ATTEMPTS - TRANSFER_ATTEMPTS
                && (rebalance || state.exceedsHeld(wanted));
    ShareChangeSelector.AllowedTransfers transfers =
        new ShareChangeSelector.AllowedTransfers(mayTransfer, rebalance, returningAll.get());
    renewals.onReadStarted(renewal);
    reader
        .read(mayTransfer)
        .thenCompose(snapshot -> writeUnlessSuperseded(snapshot, transfers, wanted, renewal))
        .exceptionally(error -> readFailed(wanted, error))
        .thenAccept(
            outcome -> {
              renewals.onAttemptEnded(renewal, outcome == Outcome.WRITTEN);
              if (outcome == Outcome.CONFLICT && attemptsLeft > 1) {
                long pauseMs = conflictBackoffMs(MAX_ATTEMPTS - attemptsLeft);
                timers.after(pauseMs, () -> attempt(attemptsLeft - 1, false, renewal));
                return;
              }
              renewals.end(renewal, outcome == Outcome.WRITTEN || outcome == Outcome.SUPERSEDED);
            });
  }

  private CompletableFuture<Outcome> writeUnlessSuperseded(
      SpendingTable.Snapshot snapshot,
      ShareChangeSelector.AllowedTransfers transfers,
      Map<String, Long> wanted,
      ConcurrentRenewals.Renewal renewal) {
    return renewals.tryStartWrite(renewal)
        ? write(snapshot, transfers, wanted)
        : CompletableFuture.completedFuture(Outcome.SUPERSEDED);
  }

  private long conflictBackoffMs(int earlierAttempts) {
    return random.nextInt(CONFLICT_BACKOFF_MS << earlierAttempts);
  }

  private enum Outcome {
    WRITTEN,
    CONFLICT,
    /** Another round wrote, or writes, a row that is as new. */
    SUPERSEDED,
    FAILED
  }

  /** Drops what was asked for: in a long silence of the store it would add up. */
  private Outcome readFailed(Map<String, Long> wanted, Throwable error) {
    state.wanted().take(wanted);
    return failed(error);
  }

  private Outcome failed(Throwable error) {
    Logger.debug("spending not renewed: {}", Failures.unwrap(error).getMessage());
    return Outcome.FAILED;
  }

  private CompletableFuture<Outcome> write(
      SpendingTable.Snapshot snapshot,
      ShareChangeSelector.AllowedTransfers transfers,
      Map<String, Long> wanted) {
    SpendingState.Proposal proposal = state.propose(snapshot, plan.read(), transfers, wanted);
    return table
        .write(proposal.transaction())
        .handle((written, error) -> finish(proposal, written, error));
  }

  private Outcome finish(SpendingState.Proposal proposal, Boolean written, Throwable error) {
    if (error == null && written) {
      state.confirm(proposal);
      renewedMs = timers.nowMs();
      onRenewed.run();
      return Outcome.WRITTEN;
    }
    boolean notApplied =
        error == null
            || Failures.unwrap(error) instanceof PlatformException platform
                && platform.outcome() == PlatformException.Outcome.NOT_APPLIED;
    if (notApplied) {
      state.retract(proposal);
    }
    return error == null ? Outcome.CONFLICT : failed(error);
  }
}
