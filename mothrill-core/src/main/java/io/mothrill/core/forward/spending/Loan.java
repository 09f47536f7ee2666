package io.mothrill.core.forward.spending;

import io.mothrill.core.platform.InstanceRecord;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tokens borrowed from another instance, which counts them as spent so that this instance may spend
 * them.
 */
final class Loan {

  private final InstanceRecord lender;
  private final AtomicLong remainingTokens;
  private final AtomicInteger reservationCount = new AtomicInteger();

  Loan(InstanceRecord lender, long tokens) {
    this.lender = lender;
    this.remainingTokens = new AtomicLong(tokens);
  }

  InstanceRecord lender() {
    return lender;
  }

  /** Reserves up to the requested number of tokens from the rest of this loan. */
  PartialReservation reserveUpTo(long tokens) {
    reservationCount.incrementAndGet();
    long taken = takeUpTo(tokens);
    if (taken == 0) {
      reservationCount.decrementAndGet();
      return PartialReservation.NONE;
    }
    return new PartialReservation(taken, usedTokens -> settle(taken - usedTokens));
  }

  private void settle(long returnedTokens) {
    remainingTokens.addAndGet(returnedTokens);
    reservationCount.decrementAndGet();
  }

  long remainingTokens() {
    return remainingTokens.get();
  }

  long takeRemaining() {
    return takeUpTo(Long.MAX_VALUE);
  }

  /** Checks whether no tokens remain and no reservation can return any. */
  boolean isSettled() {
    return reservationCount.get() == 0 && remainingTokens.get() == 0;
  }

  private long takeUpTo(long tokens) {
    long before = remainingTokens.getAndUpdate(left -> left - Math.min(left, tokens));
    return Math.min(before, tokens);
  }
}
