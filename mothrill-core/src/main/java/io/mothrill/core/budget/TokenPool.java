package io.mothrill.core.budget;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Tokens of one allotment that only this instance may spend.
 *
 * <p>Tokens are removed from a pool before another instance can hold them, and only the instance
 * that took them can return them. A token is therefore never in two places.
 */
final class TokenPool {

  private final AllotmentId allotment;
  private final LongSupplier spendUntilMs;
  private final AtomicInteger uses = new AtomicInteger();
  private final AtomicLong availableTokens = new AtomicLong();

  TokenPool(AllotmentId allotment, LongSupplier spendUntilMs) {
    this.allotment = allotment;
    this.spendUntilMs = spendUntilMs;
  }

  AllotmentId allotment() {
    return allotment;
  }

  long availableTokens() {
    return availableTokens.get();
  }

  /**
   * Returns the time until which tokens may be taken from the pool.
   *
   * <p>A holder that is paused or partitioned could otherwise keep spending after its allotment was
   * closed and granted to others, and more would be spent than was paid. Every holder counts the
   * lease from the time at which it <em>sent</em> its last successful renewal, so by its own clock
   * the lease always ends before it can be closed.
   *
   * @return a time of the timer service, in milliseconds, after which no tokens may be taken
   */
  long spendUntilMs() {
    return spendUntilMs.getAsLong();
  }

  boolean maySpendAt(long nowMs) {
    return nowMs < spendUntilMs();
  }

  /** Takes the available tokens up to a limit. */
  long takeUpTo(long limitTokens) {
    while (true) {
      long current = availableTokens.get();
      long taken = Math.min(current, limitTokens);
      if (taken <= 0) {
        return 0;
      }
      if (availableTokens.compareAndSet(current, current - taken)) {
        return taken;
      }
    }
  }

  /** Counts a reservation that may return tokens, so that the pool is not removed meanwhile. */
  void beginUse() {
    uses.incrementAndGet();
  }

  void endUse() {
    uses.decrementAndGet();
  }

  boolean isSpent() {
    return uses.get() == 0 && availableTokens.get() == 0;
  }

  boolean isUnused() {
    return uses.get() == 0;
  }

  void put(long tokens) {
    availableTokens.addAndGet(tokens);
  }
}
