package io.mothrill.core.upstream;

import java.util.OptionalLong;

/**
 * Why an answer did not come.
 *
 * @param kind what is known about the run
 * @param detail what happened, for the log
 * @param retryAfterMs how long the upstream wants no calls of this instance, if it asks for that
 */
public record UpstreamFailure(Kind kind, String detail, OptionalLong retryAfterMs) {

  /**
   * Creates a failure after which the upstream asks for no rest.
   *
   * @param kind what is known about the run
   * @param detail what happened, for the log
   */
  public UpstreamFailure(Kind kind, String detail) {
    this(kind, detail, OptionalLong.empty());
  }

  /** What is known about a run that failed. */
  public enum Kind {
    /** No byte of the call was written, so it surely did not run. */
    NOT_SENT,
    /** The upstream answered that it refused the call and did not run it. */
    REFUSED,
    /** The upstream answered that it is leaving and did not run the call. */
    LEAVING,
    /** The connection broke or fell silent: the call may have run. */
    BROKEN
  }

  /**
   * Says whether the call surely did not run.
   *
   * @return true when sending it again cannot run it twice
   */
  public boolean isNotRun() {
    return kind != Kind.BROKEN;
  }
}
