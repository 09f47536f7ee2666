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
 * Tracks the crashes of upstreams under one request; confined to the caller's thread.
 *
 * <pre>{@code
 * guard.decide(caller, this::send, record -> refuse(record.retryAfterMs(timers.nowMs())));
 * }</pre>
 *
 * <p>The fingerprint of the request is computed on first use: as long as no upstream has crashed
 * anywhere, the body is not read for it.
 */
public final class RequestCrashGuard {

  /**
   * Number of crashes under one request after which this instance does not retry it by itself.
   * Nineteen of twenty requests affected by one crash did not cause it and are retried at once. A
   * second crash is rarely a coincidence, so whether a third upstream is risked is left to the
   * caller, who may repeat the request.
   */
  private static final int MAX_CRASHES_RETRIED = 2;

  private final CrashGuard crashes;
  private final Supplier<Fingerprint> fingerprints;
  private final Timers timers;
  private Optional<Fingerprint> fingerprint = Optional.empty();
  private boolean hasFailed;

  /**
   * Creates a guard for a request without crashes.
   *
   * @param crashes the crashes of all requests
   * @param fingerprints computes the request's fingerprint; called at most once
   * @param timers the clock
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
   * Returns the fingerprint if it has been computed.
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
   * Sends or refuses the request, immediately unless the decision depends on a pending probe.
   *
   * @param executor runs a delayed decision
   * @param send sends the request
   * @param refuse refuses the request, given its crash record
   */
  public void decide(Executor executor, Runnable send, Consumer<CrashRecord> refuse) {
    CompletableFuture<Void> probes = awaitProbes();
    Runnable decision = () -> findRefusalRecord().ifPresentOrElse(refuse, send);
    if (probes.isDone()) {
      decision.run();
    } else {
      probes.thenRun(() -> executor.execute(decision));
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
   * Checks whether the request must not be sent to any upstream, as known at this moment.
   *
   * @return true once enough upstreams have crashed under it
   */
  public boolean isQuarantined() {
    return !crashes.isIdle() && crashes.crashCount(computeFingerprint()) >= CrashRecord.MAX_CRASHES;
  }

  /** Called when the answer was invalid although its upstream keeps running. */
  public void onInvalidAnswer() {
    hasFailed = true;
  }

  /**
   * Called when the connection to an upstream was closed or reset while it was running the request.
   *
   * @param upstream the upstream that was running it
   */
  public void onConnectionLost(RegisteredUpstream upstream) {
    hasFailed = true;
    crashes.onConnectionLost(computeFingerprint(), upstream);
  }

  /**
   * Called when the process that was running the request has been replaced by another one.
   *
   * @param upstream the upstream that was running it
   */
  public void onUpstreamReplaced(RegisteredUpstream upstream) {
    hasFailed = true;
    crashes.onCrash(computeFingerprint(), upstream, timers.nowMs());
  }

  /** Called when a run of the request has succeeded. */
  public void onSuccess() {
    if (!crashes.isIdle()) {
      crashes.onSuccess(computeFingerprint());
    }
  }
}
