package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.stream.Stream;

/**
 * What this instance has spent of one team's budget, kept below every row that may be in force.
 *
 * <p>Failure: a renewal takes effect though its answer is lost, or takes effect seconds later.
 * Symptom: the instance counts from one row while the table holds another, and whoever reads the
 * table after a crash takes too little for spent. So from the moment at which a row is sent until
 * it is known to be in force, or never to be, the instance stays below the old bound and the new.
 */
public final class TeamSpending {

  /** Weight of the newest reservation in the usual size: about the last ten count. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** A request is put together from so many pieces at the most; smaller ones help too little. */
  static final long MAX_PARTS = 4;

  private final Timers timers;
  private final AtomicLong spentTokens;
  private final AtomicLong usedSinceLastTakeTokens = new AtomicLong();
  private final AtomicReference<List<SentGrant>> possibleGrants;
  private volatile double typicalTokens;

  /**
   * Creates the state of a team, with nothing to spend until a row is confirmed.
   *
   * @param timers the time
   * @param spentTokens the most that an earlier process on this machine can have spent
   */
  public TeamSpending(Timers timers, long spentTokens) {
    this.timers = timers;
    this.spentTokens = new AtomicLong(spentTokens);
    SpendingGrant closed = new SpendingGrant(spentTokens, spentTokens, 0, 0, 0, 0);
    this.possibleGrants = new AtomicReference<>(List.of(new SentGrant(closed, timers.nowMs())));
  }

  /**
   * A grant and when it was sent.
   *
   * @param grant the grant
   * @param sentAtMs when, by this instance's steady clock
   */
  public record SentGrant(SpendingGrant grant, long sentAtMs) {

    long boundAt(long nowMs) {
      return grant.boundAfterMs(nowMs - sentAtMs);
    }
  }

  /**
   * Sets tokens aside if every row that may be in force allows it.
   *
   * @param tokens how many
   * @return true when they are set aside
   */
  public boolean tryReserve(long tokens) {
    if (!tryAdd(tokens)) {
      return false;
    }
    usedSinceLastTakeTokens.addAndGet(tokens);
    recordRequestSize(tokens);
    return true;
  }

  /** Adds first and looks then, so that a row that is proposed meanwhile is not exceeded. */
  private boolean tryAdd(long tokens) {
    if (spentTokens.addAndGet(tokens) <= boundTokens()) {
      return true;
    }
    spentTokens.addAndGet(-tokens);
    return false;
  }

  /**
   * Sets aside what may be spent now, for a request that needs more.
   *
   * @param tokens at most as many
   * @return what was set aside, maybe nothing
   */
  PartialReservation reserveUpTo(long tokens) {
    long taken = Math.min(tokens, availableTokens());
    if (taken == 0 || !tryAdd(taken)) {
      return PartialReservation.NONE;
    }
    usedSinceLastTakeTokens.addAndGet(taken);
    return new PartialReservation(taken, usedTokens -> settle(taken, usedTokens));
  }

  /**
   * Gives what may be spent now.
   *
   * @return tokens
   */
  long availableTokens() {
    return Math.max(0, boundTokens() - spentTokens.get());
  }

  /** Notes the size of a request, also of one that is served from loans. */
  void recordRequestSize(long tokens) {
    double weight = typicalTokens == 0 ? 1 : NEWEST_WEIGHT;
    typicalTokens += weight * (tokens - typicalTokens);
  }

  /**
   * Ends a reservation.
   *
   * @param reservedTokens what was set aside
   * @param usedTokens what is owed, at most as many
   */
  public void settle(long reservedTokens, long usedTokens) {
    long returned = reservedTokens - Math.min(reservedTokens, usedTokens);
    spentTokens.addAndGet(-returned);
    usedSinceLastTakeTokens.addAndGet(-returned);
  }

  /**
   * Sets tokens aside for another instance, as if they were spent. They count as demand here, where
   * more of them will be asked for.
   *
   * @param needTokens what the other lacks for one request; a good part of it helps as well
   * @param wantedTokens as much as it would like
   * @param divisor one part of so many of what is free now may go at once
   * @return what was set aside; 0 when there is too little
   */
  public long lend(long needTokens, long wantedTokens, long divisor) {
    long available = availableTokens();
    long lent =
        Math.min(available, Math.max(needTokens, Math.min(wantedTokens, available / divisor)));
    return lent >= Math.max(1, needTokens / MAX_PARTS) && tryLend(lent, needTokens) ? lent : 0;
  }

  private boolean tryLend(long tokens, long needTokens) {
    if (!tryAdd(tokens)) {
      return false;
    }
    usedSinceLastTakeTokens.addAndGet(tokens);
    recordRequestSize(needTokens);
    return true;
  }

  /**
   * Takes back what another instance has not spent of a loan.
   *
   * @param tokens how many
   */
  public void returnLoan(long tokens) {
    spentTokens.addAndGet(-tokens);
    usedSinceLastTakeTokens.addAndGet(-tokens);
  }

  /**
   * Proposes a grant that is about to be sent: from now on spending stays below it as well.
   *
   * @param shape makes the grant from the tokens spent so far
   * @return the grant to send
   */
  public SentGrant propose(LongFunction<SpendingGrant> shape) {
    long nowMs = timers.nowMs();
    while (true) {
      SentGrant sent = new SentGrant(shape.apply(spentTokens.get()), nowMs);
      possibleGrants.updateAndGet(
          before -> Stream.concat(before.stream(), Stream.of(sent)).toList());
      if (spentTokens.get() <= sent.boundAt(nowMs)) {
        return sent;
      }
      // Another thread has reserved in between: the row must show what it took.
      retract(sent);
    }
  }

  /**
   * Notes that a grant was written; all others can no longer come into force.
   *
   * @param sent the grant
   */
  public void confirm(SentGrant sent) {
    possibleGrants.set(List.of(sent));
  }

  /**
   * Notes that a grant was surely not written.
   *
   * @param sent the grant
   */
  public void retract(SentGrant sent) {
    possibleGrants.updateAndGet(before -> before.stream().filter(other -> other != sent).toList());
  }

  /**
   * Gives what may be spent now, in all.
   *
   * @return tokens, counted like those spent
   */
  public long boundTokens() {
    long nowMs = timers.nowMs();
    return possibleGrants.get().stream().mapToLong(sent -> sent.boundAt(nowMs)).min().orElse(0);
  }

  /**
   * Gives what may be spent once all rows that may be in force have opened.
   *
   * @return tokens, counted like those spent
   */
  public long limitTokens() {
    return possibleGrants.get().stream()
        .mapToLong(sent -> sent.grant().limitTokens())
        .min()
        .orElse(0);
  }

  /**
   * Says how long it takes until an amount can be set aside without a new row.
   *
   * @param tokens the amount
   * @return milliseconds; years when the rows never allow it
   */
  public long waitMs(long tokens) {
    long nowMs = timers.nowMs();
    long wanted = spentTokens.get() + tokens;
    return possibleGrants.get().stream()
        .mapToLong(sent -> sent.grant().timeToReachMs(wanted) - (nowMs - sent.sentAtMs()))
        .map(waitMs -> Math.max(0, waitMs))
        .max()
        .orElse(SpendingGrant.NEVER_MS);
  }

  /**
   * Gives what was spent or is set aside.
   *
   * @return tokens
   */
  public long spentTokens() {
    return spentTokens.get();
  }

  /**
   * Gives the usual size of a reservation.
   *
   * @return tokens
   */
  public long typicalTokens() {
    return Math.round(typicalTokens);
  }

  /**
   * Takes what was used since the last call.
   *
   * @return tokens
   */
  public long takeUsedTokens() {
    return usedSinceLastTakeTokens.getAndSet(0);
  }
}
