package io.mothrill.core.upstream;

import java.util.OptionalLong;

/**
 * Why a call got no complete response.
 *
 * @param kind whether the call may have run
 * @param detail what happened, for the log
 * @param retryAfterMs how long this instance must send the upstream no calls, if the upstream asked
 *     for that
 */
public record UpstreamFailure(Kind kind, String detail, OptionalLong retryAfterMs) {

  /**
   * Creates a failure of an upstream that did not ask for a pause.
   *
   * @param kind whether the call may have run
   * @param detail what happened, for the log
   */
  public UpstreamFailure(Kind kind, String detail) {
    this(kind, detail, OptionalLong.empty());
  }

  /** Whether a failed call may have run. */
  public enum Kind {
    /** No byte of the call was written, so it did not run. */
    NOT_SENT,
    /** The upstream refused the call and did not run it. */
    REFUSED,
    /** The upstream is leaving and did not run the call. */
    LEAVING,
    /** The connection broke or timed out: the call may have run. */
    BROKEN
  }

  /**
   * Checks whether the call certainly did not run.
   *
   * @return true when it can be sent again without running twice
   */
  public boolean isNotRun() {
    return kind != Kind.BROKEN;
  }
}
