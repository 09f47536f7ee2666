package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.AllowedRegions;
import io.mothrill.core.forward.plan.Route;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.request.ForwardCall;
import java.util.Optional;

/**
 * A request that was admitted, with everything that does not change any more.
 *
 * @param received the request as it arrived
 * @param route its route
 * @param service the service that was chosen
 * @param team the team that pays; empty when the route needs none
 * @param deadlineMs when the caller must have its answer
 */
record AdmittedRequest(
    ReceivedRequest received,
    Route route,
    String service,
    Optional<TeamPlan> team,
    long deadlineMs) {

  ForwardCall call() {
    return received.call();
  }

  /** Gives the regions that both its route and its team allow. */
  AllowedRegions allowedRegions() {
    return team.map(TeamPlan::allowedRegions)
        .orElse(AllowedRegions.unrestricted())
        .intersect(route.allowedRegions());
  }

  /** Names the request by what upstreams see of it; reads the whole body. */
  Fingerprint fingerprint() {
    return Fingerprint.of(
        team.map(TeamPlan::name).orElse(""),
        call().method(),
        call().host(),
        received.head().uri(),
        received.body().nioBuffer());
  }

  CallerResponse response() {
    return received.response();
  }

  /** Milliseconds since the head had arrived. */
  long elapsedMs() {
    return received.dependencies().timers().nowMs() - received.startMs();
  }

  long remainingMs() {
    return deadlineMs - received.dependencies().timers().nowMs();
  }
}
