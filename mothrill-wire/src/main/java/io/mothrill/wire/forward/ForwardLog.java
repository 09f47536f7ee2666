package io.mothrill.wire.forward;

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
   * @param upstreams the upstreams that it was sent to, in order, joined by commas
   * @param detail what was decided on the way
   * @param tookMs from its head to its end
   * @param firstMs from its head to the first byte of the answer; -1 when there was none
   * @param planVersion the plan that was in force
   */
  record Story(
      String requestId,
      String route,
      String team,
      String outcome,
      int status,
      String upstreams,
      String detail,
      long tookMs,
      long firstMs,
      long planVersion) {}
}
