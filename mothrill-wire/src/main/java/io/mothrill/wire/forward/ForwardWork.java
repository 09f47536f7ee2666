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
 * @param arrival the request as it arrived
 * @param route its route
 * @param service the service that was chosen
 * @param team the team that pays; empty when the route needs none
 * @param endMs when the caller must have its answer
 */
record ForwardWork(
    ForwardArrival arrival, Route route, String service, Optional<TeamPlan> team, long endMs) {

  ForwardCall call() {
    return arrival.call();
  }

  /** Gives the regions that both its route and its team allow. */
  AllowedRegions homes() {
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
        arrival.head().uri(),
        arrival.body().nioBuffer());
  }

  CallerReply reply() {
    return arrival.reply();
  }

  /** Milliseconds since the head had arrived. */
  long elapsedMs() {
    return arrival.parts().timers().nowMs() - arrival.startMs();
  }

  long leftMs() {
    return endMs - arrival.parts().timers().nowMs();
  }
}
