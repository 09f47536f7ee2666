package io.mothrill.wire.forward;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.wire.connection.ConnectionEnd;
import io.mothrill.wire.response.ConnectionUse;

/**
 * Records what was known of an upstream when it was selected, together with the result of the
 * attempt.
 */
final class AttemptRecorder {

  private final RegisteredUpstream upstream;
  private final long selectedAtMs;
  private final int inFlightCount;
  private final long pendingPrefillTokens;
  private final long estimatedCount;
  private String suffix;
  private boolean recorded;

  AttemptRecorder(AdmittedRequest admitted, RegisteredUpstream upstream, UpstreamLoad load) {
    ForwardDependencies dependencies = admitted.received().dependencies();
    long nowMs = dependencies.timers().nowMs();
    this.upstream = upstream;
    this.suffix = upstream.version().isEmpty() ? "" : ", version " + upstream.version();
    this.selectedAtMs = nowMs - admitted.received().startMs();
    this.inFlightCount = load.inFlightCount();
    this.pendingPrefillTokens =
        Math.round(load.pendingPrefillTokens(dependencies.prefillSpeed().tokensPerMs(), nowMs));
    this.estimatedCount = Math.round(load.estimatedCount(nowMs));
  }

  /** Sets the connection on which the request is sent. */
  void setConnection(ConnectionUse use) {
    suffix += ", " + use.describe();
  }

  /** Sets the instance through which the request is sent. */
  void setRelay(String instanceId) {
    suffix += " through " + instanceId;
  }

  /** Sets how the connection ended that delivered the response. */
  void setConnectionEnd(ConnectionEnd end) {
    suffix += ", connection ended: " + end.describe();
  }

  /** Sets what became of the upstream after a response that ended with its connection. */
  void setEndCheck(EndCheck.State state) {
    suffix += ", response without length or chunks, upstream " + state.describe();
  }

  /** Records the result of the attempt; only the first call counts. */
  void recordAttempt(ForwardProgress progress, String result) {
    if (!recorded) {
      recorded = true;
      progress.attempts.add(
          new ForwardedRequestLog.Attempt(
              upstream.id(),
              selectedAtMs,
              inFlightCount,
              pendingPrefillTokens,
              estimatedCount,
              result + suffix));
    }
  }
}
