package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.List;
import java.util.Optional;

/** Gets the story of each forwarded request when it ends. */
public interface ForwardedRequestLog {

  /**
   * A request has ended.
   *
   * @param story what happened to it
   */
  void onEnded(Entry story);

  /**
   * What happened to a request.
   *
   * @param requestId the caller's id for it
   * @param route the route; empty when none was found
   * @param team the team; empty when none was found
   * @param outcome how it ended, in a word
   * @param status the status that the caller got; 0 when it got none
   * @param reason why, where the outcome alone does not say it
   * @param attempts the upstreams that it was offered to, in order
   * @param tokens what it could have cost, and what its team owes for it
   * @param reservationMs how long it waited for tokens to be set aside
   * @param firstByteMs from its head to the first byte of the answer; -1 when there was none
   * @param tookMs from its head to its end
   * @param targetLatencyMs the time to the first byte that callers hope for; 0 when no route was
   *     found
   * @param planVersion the plan that was in force
   * @param fingerprint what the request looks like to upstreams, where one broke off under it
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

    /** Says whether the first byte came later than hoped for. */
    public boolean missedTarget() {
      return targetLatencyMs > 0 && firstByteMs > targetLatencyMs;
    }
  }

  /**
   * What a request costs its team.
   *
   * @param max the most that it could cost; 0 without a prompt
   * @param charged what counts as spent at its end; 0 when it surely did not run
   */
  record Tokens(long max, long charged) {}

  /**
   * One upstream that a request was offered to, with what was known when it was chosen.
   *
   * @param upstreamId the upstream
   * @param atMs from the request's head to the choice
   * @param inFlightCount own requests that were under way there
   * @param pendingPrefillTokens own prompt tokens that it still had to read
   * @param estimatedCount all requests there, those of other instances by its last report
   * @param result what came of it
   */
  record Attempt(
      String upstreamId,
      long atMs,
      int inFlightCount,
      long pendingPrefillTokens,
      long estimatedCount,
      String result) {}
}
