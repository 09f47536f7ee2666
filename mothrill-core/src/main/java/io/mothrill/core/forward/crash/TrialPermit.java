package io.mothrill.core.forward.crash;

import java.util.function.LongSupplier;

/** Allows one request to be sent as the only trial of the fleet. */
final class TrialPermit {

  private final long validUntilMs;
  private final LongSupplier nowMs;
  private final Runnable release;

  TrialPermit(long validUntilMs, LongSupplier nowMs, Runnable release) {
    this.validUntilMs = validUntilMs;
    this.nowMs = nowMs;
    this.release = release;
  }

  boolean isValid() {
    return nowMs.getAsLong() < validUntilMs;
  }

  /** Lets the next trial begin at once. */
  void release() {
    release.run();
  }
}
