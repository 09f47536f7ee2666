package io.mothrill.wire.caller;

/** Headers between callers and mothrill. */
public final class CallerHeaders {

  /** The caller's key: the same key gets the same answer and one bill. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** The run's id, sent with the first bytes of every answer. */
  public static final String REQUEST_ID = "mothrill-request-id";

  /** The key under which the caller may ask again, the caller's own or one that was minted. */
  public static final String REQUEST_KEY = "mothrill-request-key";

  /** The class of the call: {@code urgent} or {@code batch}. */
  public static final String PRIORITY = "mothrill-priority";

  /** Set to {@code true} when the request may not run twice. */
  public static final String UNREPEATABLE = "mothrill-unrepeatable";

  /** The budget to draw on, when the team has several. */
  public static final String BUDGET = "mothrill-budget";

  private CallerHeaders() {}
}
