package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What one request has to do with upstreams that ended; confined to its caller's thread.
 *
 * <pre>{@code
 * suspicion.decide(caller, this::send, record -> refuse(record.retryAfterMs(timers.nowMs())));
 * }</pre>
 *
 * <p>The request's fingerprint is taken at the first need: as long as no upstream has crashed
 * anywhere, no body is read for it.
 */
public final class RequestCrashGuard {

  /**
   * Upstreams that may end under one request before this instance sends it on no more by itself.
   * Bystanders of one crash, nineteen of twenty, are sent on at once; a second crash is rarely
   * chance, and a third upstream is left to the caller's own decision to come again.
   */
  private static final int MAX_CRASHES_RETRIED = 2;

  private final CrashGuard crashes;
  private final Supplier<Fingerprint> fingerprints;
  private final Timers timers;
  private Optional<Fingerprint> fingerprint = Optional.empty();
  private boolean hasFailed;

  /**
   * Begins without any.
   *
   * @param crashes what is known of all requests
   * @param fingerprints makes the request's fingerprint; called once at the most
   * @param timers the time
   */
  public RequestCrashGuard(CrashGuard crashes, Supplier<Fingerprint> fingerprints, Timers timers) {
    this.crashes = crashes;
    this.fingerprints = fingerprints;
    this.timers = timers;
  }

  private Fingerprint computeFingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(fingerprints.get());
    }
    return fingerprint.get();
  }

  /**
   * Gives the fingerprint if it was needed.
   *
   * @return the fingerprint, or empty
   */
  public Optional<Fingerprint> computedFingerprint() {
    return fingerprint;
  }

  private int limit() {
    return hasFailed ? MAX_CRASHES_RETRIED : CrashRecord.MAX_CRASHES;
  }

  /**
   * Goes on with the request or refuses it, at once unless something is still being found out that
   * decides about it.
   *
   * @param executor runs what cannot be run at once
   * @param send goes on
   * @param refuse refuses, with what speaks against the request
   */
  public void decide(Executor executor, Runnable send, Consumer<CrashRecord> refuse) {
    CompletableFuture<Void> known = awaitProbes();
    Runnable decision = () -> findRefusalRecord().ifPresentOrElse(refuse, send);
    if (known.isDone()) {
      decision.run();
    } else {
      known.thenRun(() -> executor.execute(decision));
    }
  }

  private CompletableFuture<Void> awaitProbes() {
    return crashes.isIdle()
        ? CompletableFuture.completedFuture(null)
        : crashes.awaitProbes(computeFingerprint(), limit());
  }

  private Optional<CrashRecord> findRefusalRecord() {
    if (crashes.isIdle() || crashes.crashCount(computeFingerprint()) < limit()) {
      return Optional.empty();
    }
    return crashes.find(computeFingerprint());
  }

  /**
   * Says whether the request may be sent to no upstream, as known at this moment.
   *
   * @return true once enough upstreams have ended under it
   */
  public boolean isQuarantined() {
    return !crashes.isIdle() && crashes.crashCount(computeFingerprint()) >= CrashRecord.MAX_CRASHES;
  }

  /** Notes an answer that was broken though its upstream goes on. */
  public void onInvalidAnswer() {
    hasFailed = true;
  }

  /**
   * Notes that the connection to an upstream was closed or reset under the request.
   *
   * @param upstream the upstream that had it
   */
  public void onConnectionLost(RegisteredUpstream upstream) {
    hasFailed = true;
    crashes.onConnectionLost(computeFingerprint(), upstream);
  }

  /**
   * Notes that another process has followed the one that had the request.
   *
   * @param upstream the upstream that had it
   */
  public void onUpstreamReplaced(RegisteredUpstream upstream) {
    hasFailed = true;
    crashes.onCrash(computeFingerprint(), upstream, timers.nowMs());
  }

  /** Notes that a run of the request has ended well. */
  public void onSuccess() {
    if (!crashes.isIdle()) {
      crashes.onSuccess(computeFingerprint());
    }
  }
}
