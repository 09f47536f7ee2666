package io.mothrill.core.forward.spending;

import io.mothrill.core.platform.InstanceRecord;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Tokens that another instance counts as spent, so that this one may spend them. */
final class Loan {

  private final InstanceRecord lender;
  private final AtomicLong leftTokens;
  private final AtomicInteger reservationCount = new AtomicInteger();

  Loan(InstanceRecord lender, long tokens) {
    this.lender = lender;
    this.leftTokens = new AtomicLong(tokens);
  }

  InstanceRecord lender() {
    return lender;
  }

  boolean tryReserve(long tokens) {
    reservationCount.incrementAndGet();
    if (tryTake(tokens)) {
      return true;
    }
    reservationCount.decrementAndGet();
    return false;
  }

  void settle(long returnedTokens) {
    leftTokens.addAndGet(returnedTokens);
    reservationCount.decrementAndGet();
  }

  long takeRest() {
    long rest = leftTokens.get();
    return rest > 0 && tryTake(rest) ? rest : 0;
  }

  /** Says whether nothing is left and nothing can come back. */
  boolean isOver() {
    return reservationCount.get() == 0 && leftTokens.get() == 0;
  }

  private boolean tryTake(long tokens) {
    if (leftTokens.addAndGet(-tokens) >= 0) {
      return true;
    }
    leftTokens.addAndGet(tokens);
    return false;
  }
}
