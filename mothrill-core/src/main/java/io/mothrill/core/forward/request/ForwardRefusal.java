package io.mothrill.core.forward.request;

import java.util.OptionalLong;

/**
 * An answer that this instance generates itself instead of forwarding one from an upstream.
 *
 * @param cause the cause
 * @param retryAfterMs when the caller may retry, if a retry can help
 */
public record ForwardRefusal(Cause cause, OptionalLong retryAfterMs) {

  /** Why a request gets no answer from an upstream. */
  public enum Cause {
    /** No plan has been read yet; the request has not run. */
    NO_PLAN(503),
    /** No route matches the request. */
    NO_ROUTE(404),
    /** No team has the key. */
    UNKNOWN_KEY(401),
    /** The team's budget is exhausted; the request has not run. */
    BUDGET_SPENT(402),
    /** The team's tokens are currently held by other instances; the request has not run. */
    TOKENS_ELSEWHERE(503),
    /** No upstream can accept the request now; the request has not run. */
    NO_UPSTREAM(503),
    /** The only upstreams left are in failure domains being evacuated; the request has not run. */
    EVACUATED(503),
    /** No upstream is left in the allowed regions of the request; the request has not run. */
    OUTSIDE_HOME(503),
    /** No upstream of the version that began the stream is left; the request has not run. */
    OTHER_VERSION(503),
    /** Nobody knows which version began the stream; the request has not run. */
    ORIGIN_UNKNOWN(503),
    /** All upstreams left have requested a backoff; the request has not run. */
    RESTING(503),
    /** All upstreams left are warming up and can handle no more; the request has not run. */
    WARMING_UP(503),
    /** All upstreams left have announced rate limits that are used up; the request has not run. */
    LIMITED(503),
    /** All upstreams are full; the request has not run. */
    ALL_FULL(503),
    /** The limit of this instance for a full service is reached; the request has not run. */
    OVER_LIMIT(503),
    /** The team already uses its share of a full service; the request has not run. */
    OVER_SHARE(503),
    /** The deadline passed before the request was sent; the request has not run. */
    NOT_SENT_IN_TIME(503),
    /** The request is malformed or ambiguous. */
    MALFORMED(400),
    /** The body is longer than allowed. */
    BODY_TOO_LONG(413),
    /** The head is longer than allowed. */
    HEAD_TOO_LONG(431),
    /** The head or body did not arrive in time; the request has not run. */
    SENT_TOO_SLOWLY(408),
    /** Too many bytes of requests are queued; the request has not run. */
    OUT_OF_MEMORY(503),
    /** This instance cannot start the request in time; the request has not run. */
    OVERLOADED(503),
    /** This instance is shutting down; the request has not run. */
    LEAVING(503),
    /** Upstreams crashed under requests identical to this one; the request has not run. */
    CRASHES_UPSTREAMS(503),
    /** The upstream failed; the request may have run. */
    UPSTREAM_FAILED(502),
    /** No answer arrived in time; the request may have run. */
    TIMED_OUT(504);

    private final int status;

    Cause(int status) {
      this.status = status;
    }

    /**
     * Returns the cause to report instead if an upstream may have run the request.
     *
     * @return a cause that does not claim that the request has not run
     */
    public Cause whenPossiblyRun() {
      return this == NOT_SENT_IN_TIME || this == LEAVING ? TIMED_OUT : UPSTREAM_FAILED;
    }

    /**
     * Returns the HTTP status for the caller.
     *
     * @return the status
     */
    public int status() {
      return status;
    }
  }

  /**
   * Creates a refusal without a retry time.
   *
   * @param cause the cause
   * @return the refusal
   */
  public static ForwardRefusal of(Cause cause) {
    return new ForwardRefusal(cause, OptionalLong.empty());
  }

  /**
   * Creates a refusal with a retry time.
   *
   * @param cause the cause
   * @param retryAfterMs when the caller may retry
   * @return the refusal
   */
  public static ForwardRefusal retryAfter(Cause cause, long retryAfterMs) {
    return new ForwardRefusal(cause, OptionalLong.of(retryAfterMs));
  }
}
