package io.mothrill.core.forward.request;

import java.util.OptionalLong;

/**
 * The answer to a request that this instance gives itself.
 *
 * @param cause why
 * @param retryAfterMs when the caller may come back, if that helps
 */
public record ForwardRefusal(Cause cause, OptionalLong retryAfterMs) {

  /** Why a request gets no answer from an upstream. */
  public enum Cause {
    /** No plan has been read yet; the request has not run. */
    NO_PLAN(503),
    /** No route takes the request. */
    NO_ROUTE(404),
    /** No team holds the key. */
    UNKNOWN_KEY(401),
    /** The team has spent what it paid for; the request has not run. */
    BUDGET_SPENT(402),
    /** The team's tokens are at other instances for now; the request has not run. */
    TOKENS_ELSEWHERE(503),
    /** No upstream can take the request now; the request has not run. */
    NO_UPSTREAM(503),
    /** Upstreams are left only in failure domains that are being emptied; it has not run. */
    EVACUATED(503),
    /** No upstream is left in the regions that the request may go to; it has not run. */
    OUTSIDE_HOME(503),
    /** All upstreams that are left have asked for rest; it has not run. */
    RESTING(503),
    /** All upstreams that are left have just started and bear no more; it has not run. */
    WARMING_UP(503),
    /** All upstreams that are left have named limits that are used up; it has not run. */
    LIMITED(503),
    /** All upstreams are full; the request has not run. */
    ALL_FULL(503),
    /** The time ran out before the request was sent; it has not run. */
    NOT_SENT_IN_TIME(503),
    /** The request is not well formed, or could be read in two ways. */
    MALFORMED(400),
    /** The body is longer than allowed. */
    BODY_TOO_LONG(413),
    /** The head is longer than allowed. */
    HEAD_TOO_LONG(431),
    /** The head or body did not arrive in time; the request has not run. */
    SENT_TOO_SLOWLY(408),
    /** Too many bytes of requests wait already; the request has not run. */
    OUT_OF_MEMORY(503),
    /** This instance is about to end; the request has not run. */
    LEAVING(503),
    /** Upstreams ended under requests that are the same as this one; it has not run. */
    CRASHES_UPSTREAMS(503),
    /** The upstream failed; the request may have run. */
    UPSTREAM_FAILED(502),
    /** No answer came in time; the request may have run. */
    TIMED_OUT(504);

    private final int status;

    Cause(int status) {
      this.status = status;
    }

    /**
     * Gives what the caller is told instead when an upstream may have worked on the request.
     *
     * @return a cause that promises nothing
     */
    public Cause whenPossiblyRun() {
      return this == NOT_SENT_IN_TIME ? TIMED_OUT : UPSTREAM_FAILED;
    }

    /**
     * Gives the HTTP status that tells the caller.
     *
     * @return a status
     */
    public int status() {
      return status;
    }
  }

  /**
   * Refuses without a time to come back.
   *
   * @param cause why
   * @return the refusal
   */
  public static ForwardRefusal of(Cause cause) {
    return new ForwardRefusal(cause, OptionalLong.empty());
  }

  /**
   * Refuses and says when to come back.
   *
   * @param cause why
   * @param retryAfterMs when the caller may come back
   * @return the refusal
   */
  public static ForwardRefusal retryAfter(Cause cause, long retryAfterMs) {
    return new ForwardRefusal(cause, OptionalLong.of(retryAfterMs));
  }
}
