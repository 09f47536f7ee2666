package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.stream.Stream;

/**
 * What this instance has spent of one team's budget, kept below every row that may be current.
 *
 * <p>A renewal may take effect although its answer is lost, or seconds later. If the instance spent
 * under one row while the table holds another, a reader of the table after a crash would count too
 * few tokens as spent. From the time a row is sent until it is known to be current, or known never
 * to take effect, the instance therefore stays below both the old bound and the new one.
 */
public final class TeamSpending {

  /** Weight of the newest reservation in the typical size, which reflects about the last ten. */
  private static final double NEWEST_WEIGHT = 0.1;

  /**
   * Maximum number of parts that a request's tokens are combined from; smaller parts are of little
   * use.
   */
  static final long MAX_PARTS = 4;

  private final Timers timers;
  private final AtomicLong spentTokens;
  private final AtomicLong usedSinceLastTakeTokens = new AtomicLong();
  private final AtomicReference<List<SentGrant>> possibleGrants;
  private volatile double typicalTokens;

  /**
   * Creates the state of a team, with nothing to spend until a row is confirmed.
   *
   * @param timers the clock of this process
   * @param spentTokens the most that a previous process on this machine can have spent
   */
  public TeamSpending(Timers timers, long spentTokens) {
    this.timers = timers;
    this.spentTokens = new AtomicLong(spentTokens);
    SpendingGrant closed = new SpendingGrant(spentTokens, spentTokens, 0, 0, 0, 0);
    this.possibleGrants = new AtomicReference<>(List.of(new SentGrant(closed, timers.nowMs())));
  }

  /**
   * A grant and the time at which it was sent.
   *
   * @param grant the grant
   * @param sentAtMs the time, by this instance's steady clock
   */
  public record SentGrant(SpendingGrant grant, long sentAtMs) {

    long boundAt(long nowMs) {
      return grant.boundAfterMs(nowMs - sentAtMs);
    }
  }

  /**
   * Reserves tokens if every row that may be current allows it.
   *
   * @param tokens the number of tokens
   * @return true when they are reserved
   */
  public boolean tryReserve(long tokens) {
    if (!tryAdd(tokens)) {
      return false;
    }
    usedSinceLastTakeTokens.addAndGet(tokens);
    recordRequestSize(tokens);
    return true;
  }

  /**
   * Adds tokens only once they are allowed, and no row is proposed in between: a row that counted
   * tokens that were refused would allow as many beyond the budget.
   */
  private synchronized boolean tryAdd(long tokens) {
    if (spentTokens.get() + tokens > boundTokens()) {
      return false;
    }
    spentTokens.addAndGet(tokens);
    return true;
  }

  /**
   * Reserves up to a number of the available tokens, for a request that needs more.
   *
   * @param tokens the maximum
   * @return the reserved part, which may be empty
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
   * Returns the tokens that may be spent now.
   *
   * @return tokens
   */
  long availableTokens() {
    return Math.max(0, boundTokens() - spentTokens.get());
  }

  /** Records the size of a request, including requests that are served from loans. */
  void recordRequestSize(long tokens) {
    double weight = typicalTokens == 0 ? 1 : NEWEST_WEIGHT;
    typicalTokens += weight * (tokens - typicalTokens);
  }

  /**
   * Settles a reservation.
   *
   * @param reservedTokens the tokens that were reserved
   * @param usedTokens the tokens to charge, at most as many
   */
  public void settle(long reservedTokens, long usedTokens) {
    long returned = reservedTokens - Math.min(reservedTokens, usedTokens);
    spentTokens.addAndGet(-returned);
    usedSinceLastTakeTokens.addAndGet(-returned);
  }

  /**
   * Reserves tokens for another instance, as if they were spent. They count as demand of this
   * instance, which will request more of them.
   *
   * @param needTokens the tokens that the other instance lacks for one request; a considerable part
   *     of them is useful as well
   * @param wantedTokens the amount that the other instance prefers
   * @param divisor the available tokens divided by this number may be lent beyond {@code
   *     needTokens}
   * @return the tokens that were reserved; 0 when there are too few
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
   * Accepts the unspent tokens of a loan that another instance returns.
   *
   * @param tokens the number of tokens
   */
  public void returnLoan(long tokens) {
    spentTokens.addAndGet(-tokens);
    usedSinceLastTakeTokens.addAndGet(-tokens);
  }

  /**
   * Proposes a grant that is about to be sent: from now on spending stays below it as well.
   *
   * @param calculator calculates the grant from the tokens spent so far
   * @return the grant to send
   */
  public synchronized SentGrant propose(LongFunction<SpendingGrant> calculator) {
    SentGrant sent = new SentGrant(calculator.apply(spentTokens.get()), timers.nowMs());
    possibleGrants.updateAndGet(before -> Stream.concat(before.stream(), Stream.of(sent)).toList());
    return sent;
  }

  /**
   * Called when a grant was written; no other grant can take effect any more.
   *
   * @param sent the grant
   */
  public void confirm(SentGrant sent) {
    possibleGrants.set(List.of(sent));
  }

  /**
   * Called when a grant was definitely not written.
   *
   * @param sent the grant
   */
  public void retract(SentGrant sent) {
    possibleGrants.updateAndGet(before -> before.stream().filter(other -> other != sent).toList());
  }

  /**
   * Returns the total that may be spent by now.
   *
   * @return tokens, counted like the spent tokens
   */
  public long boundTokens() {
    long nowMs = timers.nowMs();
    return possibleGrants.get().stream().mapToLong(sent -> sent.boundAt(nowMs)).min().orElse(0);
  }

  /**
   * Returns the total that may be spent once the bounds of all rows that may be current have
   * reached their limits.
   *
   * @return tokens, counted like the spent tokens
   */
  public long limitTokens() {
    return possibleGrants.get().stream()
        .mapToLong(sent -> sent.grant().limitTokens())
        .min()
        .orElse(0);
  }

  /**
   * Returns the time until an amount can be reserved without a new row.
   *
   * @param tokens the amount
   * @return milliseconds; a very large number when the rows never allow it
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
   * Returns the tokens that are spent or reserved.
   *
   * @return tokens
   */
  public long spentTokens() {
    return spentTokens.get();
  }

  /**
   * Returns the typical size of a reservation.
   *
   * @return tokens
   */
  public long typicalTokens() {
    return Math.round(typicalTokens);
  }

  /**
   * Returns the tokens used since the last call, and resets the count.
   *
   * @return tokens
   */
  public long takeUsedTokens() {
    return usedSinceLastTakeTokens.getAndSet(0);
  }
}
