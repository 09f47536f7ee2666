package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.List;
import java.util.Optional;

/** Receives one entry for each forwarded request when it ends. */
public interface ForwardedRequestLog {

  /**
   * Called when a request has ended.
   *
   * @param entry the log entry of the request
   */
  void onEnded(Entry entry);

  /**
   * The log entry of one request.
   *
   * @param requestId the request id given by the caller
   * @param route the route; empty when none was found
   * @param team the team; empty when none was found
   * @param outcome the outcome as a single word
   * @param status the status sent to the caller; 0 when none was sent
   * @param reason the reason, where the outcome alone does not state it
   * @param attempts the upstreams that were tried, in order
   * @param tokens the maximum cost, and the tokens charged to the team
   * @param reservationMs how long the request waited for tokens to be reserved
   * @param firstByteMs time from the request head to the first byte of the response; -1 when there
   *     was none
   * @param tookMs time from the request head to the end of the request
   * @param targetLatencyMs the target time to first byte; 0 when no route was found
   * @param planVersion the version of the plan in use
   * @param fingerprint the fingerprint of the request as seen by upstreams, if an upstream broke
   *     off while running it
   */
  record Entry(
      String requestId,
      String route,
      String team,
      String outcome,
      int status,
      String reason,
      List<Attempt> attempts,
      Tokens tokens,
      long reservationMs,
      long firstByteMs,
      long tookMs,
      long targetLatencyMs,
      long planVersion,
      Optional<Fingerprint> fingerprint) {

    /** Checks whether the time to first byte exceeded the target latency. */
    public boolean missedTarget() {
      return targetLatencyMs > 0 && firstByteMs > targetLatencyMs;
    }
  }

  /**
   * The token cost of a request for its team.
   *
   * @param max the maximum cost; 0 without a prompt
   * @param charged the tokens that count as spent at the end; 0 when the request certainly did not
   *     run
   */
  record Tokens(long max, long charged) {}

  /**
   * One attempt at an upstream, with what was known of the upstream when it was selected.
   *
   * @param upstreamId the upstream
   * @param atMs time from the request head to the selection
   * @param inFlightCount requests of this instance in flight there
   * @param pendingPrefillTokens prompt tokens of this instance that it had not prefilled yet
   * @param estimatedCount estimated number of all requests there, including those of other
   *     instances according to its last report
   * @param result the result of the attempt
   */
  record Attempt(
      String upstreamId,
      long atMs,
      int inFlightCount,
      long pendingPrefillTokens,
      long estimatedCount,
      String result) {}
}
