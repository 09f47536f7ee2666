package io.mothrill.wire.upstream;

/** Headers exchanged with upstreams. */
public final class UpstreamHeaders {

  /** The id of the run; upstreams echo it, and a response with a different id is discarded. */
  public static final String REQUEST_ID = "x-request-id";

  /** The priority of a call: {@code urgent} or {@code batch}. */
  public static final String PRIORITY = "x-priority";

  /** Set to {@code true} by an upstream that refused a call and did not run it. */
  public static final String NOT_RUN = "x-not-run";

  /** Set to {@code true} by an upstream that must get no new requests. */
  public static final String LEAVING = "x-leaving";

  /** The number of calls that the upstream is processing. */
  public static final String LOAD_RUNNING = "x-load-running";

  /** The number of calls queued at the upstream. */
  public static final String LOAD_QUEUED = "x-load-queued";

  private UpstreamHeaders() {}
}
