package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;
import java.util.Set;

/**
 * A call that needs a slot at an upstream.
 *
 * @param requestId the id of the run
 * @param service the service's name
 * @param team the caller's team, for fairness between teams
 * @param priority the class of the call
 * @param affinity the affinity key: calls with the same text are preferably sent to the same
 *     upstream; may be empty
 * @param excluded the names of the upstreams at which an earlier attempt of this call failed
 * @param deadlineMs the deadline of the call on the timer service, in milliseconds
 */
public record RoutingRequest(
    String requestId,
    String service,
    String team,
    Priority priority,
    String affinity,
    Set<String> excluded,
    long deadlineMs) {

  /** Copies the set. */
  public RoutingRequest {
    excluded = Set.copyOf(excluded);
  }
}
