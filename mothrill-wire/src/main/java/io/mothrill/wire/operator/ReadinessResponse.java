package io.mothrill.wire.operator;

import io.mothrill.wire.http.HttpReply;

/** The response to a readiness probe. */
public final class ReadinessResponse {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private ReadinessResponse() {}

  /**
   * Creates the response.
   *
   * @param unreadyReason why the instance accepts no requests; empty when it is ready
   * @return 200, or 503 with the reason
   */
  public static HttpReply of(String unreadyReason) {
    return unreadyReason.isEmpty()
        ? HttpReply.text(OK, "ready\n")
        : HttpReply.text(UNAVAILABLE, unreadyReason + "\n");
  }
}
