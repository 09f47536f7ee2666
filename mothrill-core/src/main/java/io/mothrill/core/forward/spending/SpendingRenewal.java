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

/** Renews this instance's row periodically, and on demand when requests lack tokens. */
final class SpendingRenewal {

  /** Renewal period. A crash loses the immediate tokens, which are sized for seconds of demand. */
  static final long PERIOD_MS = 1_000;

  /**
   * Interval at which it is checked whether a renewal is due.
   *
   * <p>Between two long outages, an instance may reach the store for only a second. If its next
   * attempt were due later than that, its row would still show what it had spent before the first
   * outage, and a crash would count all its held tokens as spent, up to a tenth of a budget. While
   * the store is unreachable, the instance therefore tries four times a second.
   */
  private static final long DUE_CHECK_MS = 250;

  /** Shorter than the age at which other instances drop the row. */
  private static final long MAX_REGISTRATION_GAP_MS = 8_000;

  /** Maximum time between two renewals while the store answers. */
  static final long MAX_PERIOD_MS = PERIOD_MS + DUE_CHECK_MS;

  /**
   * Time after which a read may be stalled on a dead connection: another one is started, and the
   * first that is answered counts.
   */
  private static final long STALLED_READ_MS = 240;

  /** Minimum interval between two renewals on demand, so that several requests share one. */
  static final long MIN_ON_DEMAND_INTERVAL_MS = 40;

  /** Attempts of one renewal when other instances change the same rows at the same time. */
  private static final int MAX_ATTEMPTS = 8;

  /**
   * Attempts that may transfer tokens; the later ones only renew the own row, which no other
   * instance changes.
   */
  private static final int TRANSFER_ATTEMPTS = 3;

  /** Maximum backoff before the second attempt, doubled for each further attempt. */
  private static final int CONFLICT_BACKOFF_MS = 40;

  /**
   * Maximum on-demand renewals per second of all instances together. A table partition that takes 5
   * ms to write a transaction writes 200 per second, and retries after conflicts need some of them.
   */
  private static final long ON_DEMAND_WRITES_PER_S = 150;

  /**
   * Delay after which a renewal is too late for the request that asks for it. In a fleet of
   * hundreds of instances, the rate limit allows each instance one on-demand renewal in several
   * seconds.
   */
  private static final long MAX_ON_DEMAND_DELAY_MS = 700;

  /** Age of the row at which the store counts as unreachable. */
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
  private volatile long registeredSinceMs = Long.MAX_VALUE / 2;
  private long lastOnDemandMs = Long.MIN_VALUE / 2;
  private CompletableFuture<Boolean> scheduled;

  /**
   * Creates the renewal and starts its timers.
   *
   * @param table the platform's table
   * @param reader reads the rows that a renewal depends on
   * @param state calculates the next row
   * @param plan the current plan
   * @param timers the timers and clock of this process
   * @param random randomizes the backoff after conflicts
   * @param onRenewed called after each row that was written
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

  /** Returns the age of the row in milliseconds; a very large number when none was written. */
  long renewalAgeMs() {
    return timers.nowMs() - renewedMs;
  }

  /** Returns since when other instances can have read the row without dropping it in between. */
  long registeredSinceMs() {
    return registeredSinceMs;
  }

  boolean isReturningAll() {
    return returningAll.get();
  }

  /** Renews the row without holding any tokens. */
  CompletableFuture<Boolean> returnUnspentTokens() {
    returningAll.set(true);
    return renew();
  }

  /** Checks whether the store has answered recently. */
  boolean isStoreReachable() {
    return renewalAgeMs() < STORE_REACHABLE_MS;
  }

  /**
   * A renewal that was requested on demand.
   *
   * @param delayMs the time until it is sent
   * @param renewed completes with true when it was written
   */
  record RequestedRenewal(long delayMs, CompletableFuture<Boolean> renewed) {

    boolean isTooLate() {
      return delayMs > MAX_ON_DEMAND_DELAY_MS;
    }
  }

  /** Requests tokens with the next renewal. */
  RequestedRenewal requestTokens(String team, long tokens) {
    long delayMs = onDemandDelayMs();
    state.wanted().add(team, tokens);
    return new RequestedRenewal(delayMs, renewSoon());
  }

  /**
   * Renews immediately, or when the rate limit allows it; requests that ask meanwhile share the
   * renewal.
   */
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

  /**
   * Renews a second time if tokens are still wanted: a renewal that was already in flight does not
   * include tokens that were requested since it started.
   */
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
   * Returns the minimum interval between two renewals on demand.
   *
   * <p>If each of many instances renewed whenever a request lacks tokens, writes would queue at the
   * table until most of them conflict, and no instance would get tokens any more. The interval
   * keeps the renewals of all instances together below the capacity of the table.
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

  /** Renews the row, or joins the renewal in flight. */
  private CompletableFuture<Boolean> renew() {
    ConcurrentRenewals.Renewal renewal = renewals.join();
    if (renewal.tryStart()) {
      attempt(MAX_ATTEMPTS, state.drawRebalance(), renewal);
    }
    return renewal.result();
  }

  /** Reads and writes; retries when other instances have changed the rows in between. */
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
                long backoffMs = conflictBackoffMs(MAX_ATTEMPTS - attemptsLeft);
                timers.after(backoffMs, () -> attempt(attemptsLeft - 1, false, renewal));
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
    /** Another renewal wrote, or is writing, a row that is as new. */
    SUPERSEDED,
    FAILED
  }

  /** Drops the wanted tokens: they would accumulate during a long outage of the store. */
  private Outcome readFailed(Map<String, Long> wanted, Throwable error) {
    state.wanted().take(wanted);
    return failed(error);
  }

  private Outcome failed(Throwable error) {
    Logger.debug("renewing the spending row failed: {}", Failures.unwrap(error).getMessage());
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
      if (renewalAgeMs() > MAX_REGISTRATION_GAP_MS) {
        registeredSinceMs = timers.nowMs();
      }
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
