package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;
import java.util.Set;

/**
 * A call that wants an upstream.
 *
 * @param requestId the run's id
 * @param service the service's name
 * @param team the caller's team, for fairness between teams
 * @param priority the class of the call
 * @param affinity calls with the same text are better off at the same upstream; may be empty
 * @param excluded names of upstreams that already failed this call
 * @param deadlineMs the time on the timer service after which the call is of no use
 */
public record RoutingRequest(
    String requestId,
    String service,
    String team,
    Priority priority,
    String affinity,
    Set<String> excluded,
    long deadlineMs) {

  /** Takes a copy of the set. */
  public RoutingRequest {
    excluded = Set.copyOf(excluded);
  }
}
