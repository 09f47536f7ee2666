package io.mothrill.core.forward.lease;

import java.util.OptionalInt;

/** A message between instances about the lease of a place at an upstream. */
public sealed interface LeaseMessage {

  /**
   * Returns the lease.
   *
   * @return an id chosen by the instance that requests the lease
   */
  long leaseId();

  /**
   * Returns the upstream.
   *
   * @return its incarnation
   */
  String incarnation();

  /**
   * Requests a lease from the coordinator of an upstream. The reply is a {@link Reply}.
   *
   * @param leaseId the id of the lease
   * @param incarnation the incarnation of the upstream
   * @param maxPerS how many requests per second the upstream can turn away
   * @param validMs the time within which the request ends
   * @param toSubstitute true if the coordinator has not replied and the receiver is the next one
   */
  record Request(long leaseId, String incarnation, int maxPerS, long validMs, boolean toSubstitute)
      implements LeaseMessage {}

  /**
   * Replies to a request.
   *
   * @param leaseId the id of the lease
   * @param incarnation the incarnation of the upstream
   * @param verdict the decision
   */
  record Reply(long leaseId, String incarnation, Verdict verdict) implements LeaseMessage {}

  /**
   * Informs the coordinator about the request that a lease was used for.
   *
   * @param leaseId the id of the lease
   * @param incarnation the incarnation of the upstream
   * @param state the state of the request
   * @param requestCount the number of requests running and queued at the upstream, if it reported
   *     it
   */
  record Update(long leaseId, String incarnation, State state, OptionalInt requestCount)
      implements LeaseMessage {}

  /** The decision on a request for a lease. */
  enum Verdict {
    GRANTED,
    DENIED,
    /** The receiver does not coordinate the upstream. */
    NOT_COORDINATOR
  }

  /** The state of a request that a lease was used for. */
  enum State {
    /** Its answer has begun, and the request goes on. */
    ANSWERING,
    /** It has ended, or was not sent. */
    ENDED,
    /** It was turned away for want of room. */
    TURNED_AWAY
  }
}
