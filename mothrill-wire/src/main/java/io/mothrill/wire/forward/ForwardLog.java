package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.List;
import java.util.Optional;

/** Gets the story of each forwarded request when it ends. */
public interface ForwardLog {

  /**
   * A request has ended.
   *
   * @param story what happened to it
   */
  void onEnded(Story story);

  /**
   * What happened to a request.
   *
   * @param requestId the caller's id for it
   * @param route the route; empty when none was found
   * @param team the team; empty when none was found
   * @param outcome how it ended, in a word
   * @param status the status that the caller got; 0 when it got none
   * @param reason why, where the outcome alone does not say it
   * @param offers the upstreams that it was offered to, in order
   * @param tokens what it could have cost, and what its team owes for it
   * @param paidMs how long it waited for tokens to be set aside
   * @param firstMs from its head to the first byte of the answer; -1 when there was none
   * @param tookMs from its head to its end
   * @param aimMs the time to the first byte that callers hope for; 0 when no route was found
   * @param planVersion the plan that was in force
   * @param fingerprint what the request looks like to upstreams, where one broke off under it
   */
  record Story(
      String requestId,
      String route,
      String team,
      String outcome,
      int status,
      String reason,
      List<Offer> offers,
      Tokens tokens,
      long paidMs,
      long firstMs,
      long tookMs,
      long aimMs,
      long planVersion,
      Optional<Fingerprint> fingerprint) {

    /** Says whether the first byte came later than hoped for. */
    public boolean isLate() {
      return aimMs > 0 && firstMs > aimMs;
    }
  }

  /**
   * What a request costs its team.
   *
   * @param most the most that it could cost; 0 without a prompt
   * @param owed what counts as spent at its end; 0 when it surely did not run
   */
  record Tokens(long most, long owed) {}

  /**
   * One upstream that a request was offered to, with what was known when it was chosen.
   *
   * @param upstreamId the upstream
   * @param atMs from the request's head to the choice
   * @param underWayCount own requests that were under way there
   * @param unreadTokens own prompt tokens that it still had to read
   * @param estimatedCount all requests there, those of other instances by its last report
   * @param result what came of it
   */
  record Offer(
      String upstreamId,
      long atMs,
      int underWayCount,
      long unreadTokens,
      long estimatedCount,
      String result) {}
}
