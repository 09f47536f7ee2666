package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.RouteKind;

/** When the requests of an instance that leaves must have ended; thread-safe. */
final class LeaveEnd {

  private volatile long endMs = Long.MAX_VALUE;

  void set(long newEndMs) {
    endMs = newEndMs;
  }

  /**
   * Checks whether a request that is sent now gets its answer before the end, or may be sent again
   * if it does not.
   *
   * @param kind the kind of its route
   * @param deadlineMs when its caller must have the answer; it is answered by then in any case
   */
  boolean allows(RouteKind kind, long deadlineMs) {
    return kind.isRetryable() || deadlineMs <= endMs;
  }
}
