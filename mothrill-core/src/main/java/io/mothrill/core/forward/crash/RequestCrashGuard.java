package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.crash.CrashVerdict.Action;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tinylog.Logger;

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

  /**
   * Time after a crash in which only requests that may be repeated become trials. The caller of
   * another one would not know whether it has run if the upstream crashed.
   */
  private static final long UNREPEATABLE_DELAY_MS = 700;

  private final CrashGuard crashes;
  private final Supplier<Fingerprint> fingerprints;
  private final List<String> partIds;
  private final TrialTerms trialTerms;
  private final Timers timers;
  private Optional<Fingerprint> fingerprint = Optional.empty();
  private List<Fingerprint> parts = List.of();
  private boolean hasFailed;
  private boolean hasBegun;
  private Optional<TrialPermit> trial = Optional.empty();
  private boolean hasLostTrial;
  private boolean hasEnded;
  private CrashVerdict verdict = CrashVerdict.SEND;

  /**
   * Creates a guard for a request without crashes that may be repeated.
   *
   * @param crashes the crashes of all requests
   * @param fingerprints computes the request's fingerprint; called at most once
   * @param partIds the ids of the parts of its prompt that other requests share
   * @param timers the clock
   */
  public RequestCrashGuard(
      CrashGuard crashes, Supplier<Fingerprint> fingerprints, List<String> partIds, Timers timers) {
    this(crashes, fingerprints, partIds, TrialTerms.DEFAULT, timers);
  }

  /**
   * Creates a guard for a request without crashes.
   *
   * @param crashes the crashes of all requests
   * @param fingerprints computes the request's fingerprint; called at most once
   * @param partIds the ids of the parts of its prompt that other requests share
   * @param trialTerms how the request takes part in trials
   * @param timers the clock
   */
  public RequestCrashGuard(
      CrashGuard crashes,
      Supplier<Fingerprint> fingerprints,
      List<String> partIds,
      TrialTerms trialTerms,
      Timers timers) {
    this.crashes = crashes;
    this.fingerprints = fingerprints;
    this.partIds = List.copyOf(partIds);
    this.trialTerms = trialTerms;
    this.timers = timers;
  }

  private List<Fingerprint> computeParts() {
    if (parts.size() < partIds.size()) {
      parts = partIds.stream().map(Fingerprint::ofPart).toList();
    }
    return parts;
  }

  /** An upstream that had begun to answer was not crashed by a part of the prompt. */
  private List<Fingerprint> suspects() {
    return Stream.concat(
            Stream.of(computeFingerprint()), hasBegun ? Stream.of() : computeParts().stream())
        .toList();
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
   * Sends or refuses the request, immediately unless the decision depends on a pending probe or a
   * trial.
   *
   * @param executor runs a delayed decision
   * @param send sends the request
   * @param refuse refuses the request, given the crash record of it or of a part of its prompt
   */
  public void decide(Executor executor, Runnable send, Consumer<CrashRecord> refuse) {
    CompletableFuture<Void> probes = awaitProbes();
    long untilMs = timers.nowMs() + trialTerms.maxWaitMs();
    Runnable decision = () -> decideNow(executor, send, refuse, untilMs);
    if (probes.isDone()) {
      decision.run();
    } else {
      probes.thenRun(() -> executor.execute(decision));
    }
  }

  private void decideNow(
      Executor executor, Runnable send, Consumer<CrashRecord> refuse, long untilMs) {
    verdict = judge();
    if (verdict.action() != Action.TRIAL) {
      releaseTrial();
      verdict.record().ifPresentOrElse(refuse, send);
    } else if (isTrial()) {
      send.run();
    } else if (timers.nowMs() >= untilMs || crashes.trials().isFull()) {
      refuse.accept(verdict.record().orElseThrow());
    } else {
      awaitTrial(verdict.record().orElseThrow(), untilMs)
          .thenAccept(
              permit ->
                  executor.execute(
                      () -> {
                        acceptTrial(permit);
                        decideNow(executor, send, refuse, untilMs);
                      }));
    }
  }

  private CompletableFuture<Optional<TrialPermit>> awaitTrial(CrashRecord suspect, long untilMs) {
    long notBeforeMs =
        trialTerms.isRepeatable() ? timers.nowMs() : suspect.lastCrashMs() + UNREPEATABLE_DELAY_MS;
    return crashes.trials().await(notBeforeMs, untilMs);
  }

  private void acceptTrial(Optional<TrialPermit> permit) {
    if (hasEnded) {
      permit.ifPresent(TrialPermit::release);
    } else if (permit.isPresent()) {
      Logger.info(
          "request becomes a trial fingerprint={} suspects={}", computeFingerprint(), suspectIds());
      trial = permit;
      hasLostTrial = false;
    }
  }

  private boolean isTrial() {
    return trial.filter(TrialPermit::isValid).isPresent();
  }

  /**
   * Ends a trial that did not lose its upstream. Otherwise the permit lapses by itself, when the
   * other instances know whether the upstream has crashed.
   */
  private void releaseTrial() {
    if (!hasLostTrial) {
      trial.ifPresent(TrialPermit::release);
    }
    trial = Optional.empty();
  }

  private CompletableFuture<Void> awaitProbes() {
    if (crashes.isIdle()) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.allOf(
        Stream.concat(
                Stream.of(crashes.awaitProbes(computeFingerprint(), limit())),
                computeParts().stream()
                    .map(part -> crashes.awaitProbes(part, CrashRecord.MAX_CRASHES)))
            .toArray(CompletableFuture[]::new));
  }

  private CrashVerdict judge() {
    return crashes.isIdle()
        ? CrashVerdict.SEND
        : findOwnRefusal().orElseGet(() -> crashes.judge(allFingerprints()));
  }

  /** Refuses further attempts of a request whose own runs have crashed upstreams. */
  private Optional<CrashVerdict> findOwnRefusal() {
    return hasFailed && crashes.crashCount(computeFingerprint()) >= MAX_CRASHES_RETRIED
        ? crashes
            .find(computeFingerprint())
            .map(record -> CrashVerdict.refuse(record, record.retryAfterMs(timers.nowMs())))
        : Optional.empty();
  }

  private List<Fingerprint> allFingerprints() {
    return Stream.concat(Stream.of(computeFingerprint()), computeParts().stream()).toList();
  }

  /**
   * Checks whether the request must not be sent to any upstream, as known at this moment.
   *
   * @return true once enough upstreams have crashed under it or under a part of its prompt, unless
   *     it is a trial
   */
  public boolean isQuarantined() {
    if (crashes.isIdle()) {
      return false;
    }
    Action action = crashes.judge(allFingerprints()).action();
    return action == Action.REFUSE || (action == Action.TRIAL && !isTrial());
  }

  /**
   * Returns when the request may come again, as of the last decision.
   *
   * @return milliseconds; 0 if it was not refused
   */
  public long retryAfterMs() {
    return verdict.retryAfterMs();
  }

  /**
   * Describes for the log why the request is refused.
   *
   * @param record the record of the request or of a part of its prompt
   * @return the crashes, and the id of the part
   */
  public String describe(CrashRecord record) {
    int part = computeParts().indexOf(record.fingerprint());
    String sharing = crashes.describeSharing(record);
    return (part < 0 ? "" : "prompt part " + partIds.get(part) + ": ")
        + record.describe(timers.nowMs())
        + (sharing.isEmpty() ? "" : "; also suspected: " + sharing);
  }

  private String suspectIds() {
    return partIds.stream()
        .filter(id -> crashes.judge(List.of(Fingerprint.ofPart(id))).action() != Action.SEND)
        .collect(Collectors.joining(" "));
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
    hasLostTrial = true;
    crashes.onConnectionLost(suspects(), upstream);
  }

  /**
   * Called when the process that was running the request has been replaced by another one.
   *
   * @param upstream the upstream that was running it
   */
  public void onUpstreamReplaced(RegisteredUpstream upstream) {
    hasFailed = true;
    hasLostTrial = true;
    crashes.onCrash(suspects(), upstream, timers.nowMs());
  }

  /** Called when a run of the request has succeeded. */
  public void onSuccess() {
    onAnswerBegun();
    if (!crashes.isIdle()) {
      crashes.onSuccess(computeFingerprint());
    }
  }

  /** Called when an answer has begun, which shows that the parts of the prompt are sound. */
  public void onAnswerBegun() {
    if (!hasBegun) {
      hasBegun = true;
      if (!crashes.isIdle()) {
        computeParts().forEach(crashes::onSuccess);
      }
      releaseTrial();
    }
  }

  /** Called when the request has ended, whatever its outcome. */
  public void onEnded() {
    hasEnded = true;
    releaseTrial();
  }
}
