package io.mothrill.wire.caller;

/** Headers exchanged with callers. */
public final class CallerHeaders {

  /**
   * The caller's idempotency key: requests with the same key get the same response and are billed
   * once.
   */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** The id of the run, sent in the header of every response. */
  public static final String REQUEST_ID = "mothrill-request-id";

  /**
   * The key with which the caller can repeat the request: its own idempotency key or a generated
   * one.
   */
  public static final String REQUEST_KEY = "mothrill-request-key";

  /** The priority of the call: {@code urgent} or {@code batch}. */
  public static final String PRIORITY = "mothrill-priority";

  /** Set to {@code true} when the request must not run more than once. */
  public static final String UNREPEATABLE = "mothrill-unrepeatable";

  /** The budget to use when the team has several. */
  public static final String BUDGET = "mothrill-budget";

  private CallerHeaders() {}
}
