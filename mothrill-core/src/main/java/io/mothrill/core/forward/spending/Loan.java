package io.mothrill.core.forward.spending;

import io.mothrill.core.platform.InstanceRecord;
import java.util.concurrent.atomic.AtomicLong;

/** Tokens that another instance counts as spent, so that this one may spend them. */
final class Loan {

  private final InstanceRecord lender;
  private final AtomicLong leftTokens;

  Loan(InstanceRecord lender, long tokens) {
    this.lender = lender;
    this.leftTokens = new AtomicLong(tokens);
  }

  InstanceRecord lender() {
    return lender;
  }

  boolean tryTake(long tokens) {
    if (leftTokens.addAndGet(-tokens) >= 0) {
      return true;
    }
    leftTokens.addAndGet(tokens);
    return false;
  }

  void putBack(long tokens) {
    leftTokens.addAndGet(tokens);
  }

  long takeRest() {
    long rest = leftTokens.get();
    return rest > 0 && tryTake(rest) ? rest : 0;
  }
}
