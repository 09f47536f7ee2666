package io.mothrill.core.budget;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Tokens of one allotment that this instance alone may spend.
 *
 * <p>Tokens leave a pool before anyone else can hold them and come back only from whoever took
 * them, so no token is ever in two places.
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
   * Says how long the pool may be spent from.
   *
   * <p>Failure: a holder that is paused or cut off goes on spending after its allotment was closed
   * and granted to others. Symptom: more is spent than was paid. Every holder counts the lease from
   * when it <em>sent</em> its last successful renewal, so its own end always comes first.
   *
   * @return the time on the timer service after which nothing more may be taken
   */
  long spendUntilMs() {
    return spendUntilMs.getAsLong();
  }

  boolean maySpendAt(long nowMs) {
    return nowMs < spendUntilMs();
  }

  /** Takes as many tokens as there are, up to a limit. */
  long takeUpTo(long limitTokens) {
    while (true) {
      long seen = availableTokens.get();
      long taken = Math.min(seen, limitTokens);
      if (taken <= 0) {
        return 0;
      }
      if (availableTokens.compareAndSet(seen, seen - taken)) {
        return taken;
      }
    }
  }

  /** Counts a reservation that may put tokens back, so that the pool is not forgotten. */
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
