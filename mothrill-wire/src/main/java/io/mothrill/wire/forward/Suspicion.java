package io.mothrill.wire.forward;

import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.crash.CrashRecord;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.ServingUpstream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * What one request has to do with upstreams that ended; confined to the caller's event loop.
 *
 * <p>Its fingerprint is taken at the first need: as long as no upstream has crashed anywhere, no
 * body is read for it.
 */
final class Suspicion {

  /**
   * Upstreams that may end under one request before this instance sends it on no more by itself.
   * Bystanders of one crash, nineteen of twenty, are sent on at once; a second crash is rarely
   * chance, and a third upstream is left to the caller's own decision to come again.
   */
  private static final int MAX_CRASHES_SENT_ON = 2;

  private final ForwardWork work;
  private final ForwardProgress progress;
  private final CrashGuard crashes;
  private Optional<Fingerprint> fingerprint = Optional.empty();

  Suspicion(ForwardWork work, ForwardProgress progress) {
    this.work = work;
    this.progress = progress;
    this.crashes = work.arrival().parts().crashes();
  }

  private Fingerprint take() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(work.fingerprint());
    }
    return fingerprint.get();
  }

  /** Gives the fingerprint if it was needed. */
  Optional<Fingerprint> taken() {
    return fingerprint;
  }

  private int limit() {
    return progress.brokeOff ? MAX_CRASHES_SENT_ON : CrashRecord.MAX_CRASHES;
  }

  /** Completes once it is known whether the request may be sent. */
  CompletableFuture<Void> settled() {
    return crashes.isIdle()
        ? CompletableFuture.completedFuture(null)
        : crashes.settled(take(), limit());
  }

  /** Gives what speaks against sending the request; empty when it may be sent. */
  Optional<CrashRecord> evidence() {
    if (crashes.isIdle() || crashes.countOf(take()) < limit()) {
      return Optional.empty();
    }
    return crashes.find(take());
  }

  /** Says whether the request may be sent to no upstream, as known at this moment. */
  boolean isQuarantined() {
    return !crashes.isIdle() && crashes.countOf(take()) >= CrashRecord.MAX_CRASHES;
  }

  /** A connection has broken under the request. */
  void onBroken(BreakCause cause, ServingUpstream upstream) {
    Fingerprint broken = take();
    switch (cause) {
      case CLOSED -> crashes.onBroken(broken, upstream);
      case REPLACED -> crashes.onCrash(broken, upstream, work.arrival().parts().timers().nowMs());
      default -> {
        // Garbled: the upstream goes on, whatever it answers.
      }
    }
  }

  /** A run of the request has ended well. */
  void onServed() {
    if (!crashes.isIdle()) {
      crashes.onServed(take());
    }
  }
}
