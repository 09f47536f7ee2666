package io.mothrill.wire.upstream;

/** Headers between mothrill and upstreams. */
public final class UpstreamHeaders {

  /** The run's id; upstreams echo it, and an answer with another id is dropped. */
  public static final String REQUEST_ID = "x-request-id";

  /** The class of a call: {@code urgent} or {@code batch}. */
  public static final String PRIORITY = "x-priority";

  /** Set to {@code true} by an upstream that refuses a call and did not run it. */
  public static final String NOT_RUN = "x-not-run";

  /** Set to {@code true} by an upstream that must get nothing new. */
  public static final String LEAVING = "x-leaving";

  /** How many calls the upstream is working on. */
  public static final String LOAD_RUNNING = "x-load-running";

  /** How many calls wait at the upstream. */
  public static final String LOAD_QUEUED = "x-load-queued";

  private UpstreamHeaders() {}
}
