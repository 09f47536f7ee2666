package io.mothrill.wire.forward;

import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.crash.RequestCrashGuard;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/** The exchange that an attempt belongs to. */
interface AttemptOwner {

  boolean hasEnded();

  /** Sends the request to the next upstream. */
  void tryNextUpstream();

  /**
   * Called when an upstream has turned the request away because it is full.
   *
   * @return the rejection if the request should not be sent to another upstream
   */
  Optional<Rejection> onTurnedAway();

  /**
   * Checks whether a request that was not run may go to another upstream; takes one retry from the
   * budget if so.
   */
  boolean tryAcquireRetry();

  /**
   * Checks whether a request that may have run may run again; takes one retry from the budget if
   * so.
   */
  boolean tryAcquireRerun();

  void endWithoutResponse(Cause ifNotRun, long retryAfterMs);

  void refuse(ForwardRefusal refusal);

  void end(String outcome, int status);

  /** Ends the request, as its caller has not read for too long while the upstream was paused. */
  void abortSlowCaller();

  /** Checks whether the request may be sent to an upstream now. */
  boolean mayBeSentTo(RegisteredUpstream upstream, SendLease lease);

  /**
   * Returns the crash guard of the request, which tracks upstreams that terminated while running
   * it.
   */
  RequestCrashGuard requestCrashGuard();
}
