package io.mothrill.core.forward.spending;

import io.mothrill.core.board.Section;
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
  private static final long CHECK_MS = 250;

  /** The longest time from one renewal to the next while the store answers. */
  static final long LONGEST_PAUSE_MS = PERIOD_MS + CHECK_MS;

  /**
   * A read that takes longer may hang on a connection that has gone silent: another one is begun
   * beside it, and the first that is answered counts.
   */
  private static final long HANGING_MS = 240;

  /** Least pause between two renewals that requests ask for, so that several share one. */
  static final long LEAST_PAUSE_MS = 40;

  /** Attempts of one renewal when other instances change the same rows at the same time. */
  private static final int MAX_CONFLICTS = 8;

  /**
   * Attempts that may move tokens; the others only renew the own row, which no one else changes.
   */
  private static final int MOVING_ATTEMPTS = 3;

  /** Longest pause before the second of these attempts, doubled for each one after it. */
  private static final int CONFLICT_PAUSE_MS = 40;

  /**
   * Renewals that requests may ask for in one second, all instances together: a part of a table
   * that writes each transaction in 5 ms takes 200, and conflicts need some of them.
   */
  private static final long URGENT_WRITES_PER_S = 150;

  /**
   * A renewal that is sent later than this comes too late for the request that asks for it. In a
   * fleet of hundreds the pace allows one in seconds.
   */
  private static final long MAX_PACED_MS = 700;

  /** A renewal that took longer ago than this shows that the store is out of reach. */
  private static final long IN_TOUCH_MS = 1_400;

  private static final long MS_PER_S = 1_000;

  private final TableService table;
  private final SpendingReader reader;
  private final SpendingRows rows;
  private final Section<ForwardingPlan> plan;
  private final Timers timers;
  private final RandomGenerator random;
  private final Runnable onRenewed;
  private final RenewalRounds rounds;
  private final AtomicBoolean leaving = new AtomicBoolean();
  private volatile long renewedMs = Long.MIN_VALUE / 2;
  private long urgentMs = Long.MIN_VALUE / 2;
  private CompletableFuture<Boolean> paced;

  /**
   * Starts to renew.
   *
   * @param table the platform's table
   * @param reader reads what a renewal is written on
   * @param rows works out the next row
   * @param plan the plan in force
   * @param timers the time
   * @param random spreads attempts after conflicts
   * @param onRenewed runs after each row that was written
   */
  SpendingRenewal(
      TableService table,
      SpendingReader reader,
      SpendingRows rows,
      Section<ForwardingPlan> plan,
      Timers timers,
      RandomGenerator random,
      Runnable onRenewed) {
    this.table = table;
    this.reader = reader;
    this.rows = rows;
    this.plan = plan;
    this.timers = timers;
    this.random = random;
    this.onRenewed = onRenewed;
    this.rounds = new RenewalRounds(timers, HANGING_MS);
    timers.after(0, this::renew);
    timers.every(CHECK_MS, this::renewIfDue);
  }

  /** Says how old the row is; very many milliseconds when none was written. */
  long sinceRenewalMs() {
    return timers.nowMs() - renewedMs;
  }

  boolean isLeaving() {
    return leaving.get();
  }

  /** Renews with nothing held any more. */
  CompletableFuture<Boolean> handBack() {
    leaving.set(true);
    return renew();
  }

  /** Says whether the store has answered lately. */
  boolean isInTouch() {
    return sinceRenewalMs() < IN_TOUCH_MS;
  }

  /**
   * A renewal that a request has asked for.
   *
   * @param sentInMs how long it takes until it is sent
   * @param renewed completes with true when it was written
   */
  record Asked(long sentInMs, CompletableFuture<Boolean> renewed) {

    boolean isTooLate() {
      return sentInMs > MAX_PACED_MS;
    }
  }

  /** Asks for tokens with the next renewal. */
  Asked askFor(String team, long tokens) {
    long sentInMs = pauseMs();
    rows.wanted().add(team, tokens);
    return new Asked(sentInMs, renewSoon());
  }

  /** Renews at once or when the pace allows it, together with whoever asks meanwhile. */
  private CompletableFuture<Boolean> renewSoon() {
    return isDueNow() ? renewForRequests() : pacedRenewal();
  }

  private synchronized boolean isDueNow() {
    boolean due = paced == null && pauseMs() == 0;
    urgentMs = due ? timers.nowMs() : urgentMs;
    return due;
  }

  private synchronized CompletableFuture<Boolean> pacedRenewal() {
    if (paced == null) {
      paced = new CompletableFuture<>();
      timers.after(pauseMs(), this::renewPaced);
    }
    return paced;
  }

  private void renewPaced() {
    CompletableFuture<Boolean> renewed;
    synchronized (this) {
      renewed = paced;
      paced = null;
      urgentMs = timers.nowMs();
    }
    renewForRequests().thenAccept(renewed::complete);
  }

  /** A renewal that was under way already does not bring what was asked for since it began. */
  private CompletableFuture<Boolean> renewForRequests() {
    return renew()
        .thenCompose(
            renewed ->
                renewed && !rows.wanted().isEmpty()
                    ? renew()
                    : CompletableFuture.completedFuture(renewed));
  }

  private synchronized long pauseMs() {
    return Math.max(0, urgentPauseMs() - (timers.nowMs() - urgentMs));
  }

  /**
   * Gives the least pause between two renewals that requests ask for.
   *
   * <p>Failure: each of many instances renews whenever a request lacks tokens. Symptom: writes
   * queue at the table until most of them conflict, and no instance gets tokens any more. Together
   * they stay below what the table takes.
   */
  private long urgentPauseMs() {
    return Math.max(LEAST_PAUSE_MS, rows.instanceCount() * MS_PER_S / URGENT_WRITES_PER_S);
  }

  private void renewIfDue() {
    if (sinceRenewalMs() >= PERIOD_MS - CHECK_MS / 2) {
      renew();
    }
  }

  /** Renews the row, or joins the renewal that is under way. */
  private CompletableFuture<Boolean> renew() {
    RenewalRounds.Round round = rounds.join();
    if (round.begin()) {
      attempt(MAX_CONFLICTS, rows.drawTurn(), round);
    }
    return round.result();
  }

  /** Reads and writes; begins again when other instances have changed the rows in between. */
  private void attempt(int attempts, boolean inTurn, RenewalRounds.Round round) {
    Map<String, Long> wanted = rows.wanted().current();
    boolean mayMoveTokens =
        leaving.get()
            || attempts > MAX_CONFLICTS - MOVING_ATTEMPTS
                && (inTurn || rows.isMoreThanHeld(wanted));
    ShareChanges.Moves moves = new ShareChanges.Moves(mayMoveTokens, inTurn, leaving.get());
    rounds.onReading(round);
    reader
        .read(mayMoveTokens)
        .thenCompose(read -> writeUnlessOvertaken(read, moves, wanted, round))
        .exceptionally(error -> readFailed(wanted, error))
        .thenAccept(
            outcome -> {
              rounds.onWritten(round, outcome == Outcome.WRITTEN);
              if (outcome == Outcome.CONFLICT && attempts > 1) {
                long pauseMs = conflictPauseMs(MAX_CONFLICTS - attempts);
                timers.after(pauseMs, () -> attempt(attempts - 1, false, round));
                return;
              }
              rounds.end(round, outcome == Outcome.WRITTEN || outcome == Outcome.OVERTAKEN);
            });
  }

  private CompletableFuture<Outcome> writeUnlessOvertaken(
      SpendingTables.Contents read,
      ShareChanges.Moves moves,
      Map<String, Long> wanted,
      RenewalRounds.Round round) {
    return rounds.tryWrite(round)
        ? write(read, moves, wanted)
        : CompletableFuture.completedFuture(Outcome.OVERTAKEN);
  }

  private long conflictPauseMs(int earlier) {
    return random.nextInt(CONFLICT_PAUSE_MS << earlier);
  }

  private enum Outcome {
    WRITTEN,
    CONFLICT,
    /** Another round wrote, or writes, a row that is as new. */
    OVERTAKEN,
    FAILED
  }

  /** Drops what was asked for: in a long silence of the store it would add up. */
  private Outcome readFailed(Map<String, Long> wanted, Throwable error) {
    rows.wanted().take(wanted);
    return failed(error);
  }

  private Outcome failed(Throwable error) {
    Logger.debug("spending not renewed: {}", Failures.unwrap(error).getMessage());
    return Outcome.FAILED;
  }

  private CompletableFuture<Outcome> write(
      SpendingTables.Contents read, ShareChanges.Moves moves, Map<String, Long> wanted) {
    SpendingRows.Proposal proposal = rows.propose(read, plan.read(), moves, wanted);
    return table
        .write(proposal.transaction())
        .handle((written, error) -> finish(proposal, written, error));
  }

  private Outcome finish(SpendingRows.Proposal proposal, Boolean written, Throwable error) {
    if (error == null && written) {
      rows.confirm(proposal);
      renewedMs = timers.nowMs();
      onRenewed.run();
      return Outcome.WRITTEN;
    }
    boolean surelyNot =
        error == null
            || Failures.unwrap(error) instanceof PlatformException platform
                && platform.outcome() == PlatformException.Outcome.NOT_APPLIED;
    if (surelyNot) {
      rows.retract(proposal);
    }
    return error == null ? Outcome.CONFLICT : failed(error);
  }
}
