package io.mothrill.core.forward.plan;

/** The kind of a route's requests, which determines whether they may run more than once. */
public enum RouteKind {
  /** An idempotent plain request, which may run more than once. */
  IDEMPOTENT,
  /** A plain request that may run at most once. */
  NON_IDEMPOTENT,
  /** A stream of events that may run at most once. */
  STREAM,
  /** A stream of events that another upstream may resume after the last event received. */
  RESUMABLE_STREAM;

  /**
   * Checks whether a request that may have run can be sent again.
   *
   * @return true for idempotent requests and resumable streams
   */
  public boolean isRetryable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /**
   * Checks whether the answer is a stream of events.
   *
   * @return true for both kinds of stream
   */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
