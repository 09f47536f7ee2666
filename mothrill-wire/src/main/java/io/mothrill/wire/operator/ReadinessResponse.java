package io.mothrill.wire.operator;

import io.mothrill.wire.http.HttpReply;

/** The answer to the question whether an instance takes requests. */
public final class ReadinessResponse {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private ReadinessResponse() {}

  /**
   * Makes the answer.
   *
   * @param unreadyReason why the instance takes no requests; empty when it takes them
   * @return 200, or 503 with the reason
   */
  public static HttpReply of(String unreadyReason) {
    return unreadyReason.isEmpty()
        ? HttpReply.text(OK, "ready\n")
        : HttpReply.text(UNAVAILABLE, unreadyReason + "\n");
  }
}
