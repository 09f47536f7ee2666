package io.mothrill.core.forward.plan;

/** What a route's requests are and whether they may run more than once. */
public enum RouteKind {
  /** A plain request that may run more than once (idempotent). */
  IDEMPOTENT,
  /** A plain request that may run at most once. */
  NON_IDEMPOTENT,
  /** A stream of events that may run at most once. */
  STREAM,
  /** A stream of events that another upstream may continue behind the last event seen. */
  RESUMABLE_STREAM;

  /**
   * Says whether a request that may have run can be sent again.
   *
   * @return true for repeatable requests and streams that can be resumed
   */
  public boolean isRetryable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /**
   * Says whether the answer is a series of events.
   *
   * @return true for both kinds of stream
   */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
