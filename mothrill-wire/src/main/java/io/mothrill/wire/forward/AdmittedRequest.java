package io.mothrill.wire.forward;

import io.mothrill.core.forward.admission.AdmissionRequest;
import io.mothrill.core.forward.admission.RequestAdmission;
import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.crash.RequestCrashGuard;
import io.mothrill.core.forward.crash.TrialTerms;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.plan.Route;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.request.ForwardCall;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * An admitted request with its routing decisions, which do not change any more.
 *
 * @param received the received request
 * @param route its route
 * @param service the selected service
 * @param team the team that is charged; empty when the route needs none
 * @param deadlineMs when the caller must have its response
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

  /** Returns the regions that both the route and the team allow. */
  RegionRestriction regionRestriction() {
    return team.map(TeamPlan::regionRestriction)
        .orElse(RegionRestriction.unrestricted())
        .intersect(route.regionRestriction());
  }

  /**
   * Computes the fingerprint of the request from what upstreams see of it; reads the whole body.
   */
  Fingerprint fingerprint() {
    return Fingerprint.of(
        team.map(TeamPlan::name).orElse(""),
        call().method(),
        call().host(),
        received.head().uri(),
        received.body().nioBuffer());
  }

  /** Creates the guard against crashes of upstreams under this request or its prompt. */
  RequestCrashGuard newCrashGuard() {
    ForwardDependencies dependencies = received.dependencies();
    return new RequestCrashGuard(
        dependencies.crashGuard(),
        this::fingerprint,
        call().prompt().map(Prompt::sharedPartIds).orElse(List.of()),
        TrialTerms.of(route.kind().isRetryable(), route.targetLatencyMs()),
        dependencies.timers());
  }

  /** Returns the same request to another service of its route. */
  AdmittedRequest withService(String newService) {
    return new AdmittedRequest(received, route, newService, team, deadlineMs);
  }

  /** Returns the query for an upstream. */
  UpstreamQuery query(
      Optional<String> requiredVersion, Set<String> tried, UpstreamQuery.Eligibility eligibility) {
    return new UpstreamQuery(
        service,
        route.targetLatencyMs(),
        call().prompt(),
        regionRestriction(),
        requiredVersion,
        tried,
        eligibility);
  }

  /** Describes why no upstream may get the request; empty where the cause says it all. */
  String describe(Rejection rejection) {
    return rejection.cause() == Cause.ALL_FULL
        ? "no engine has memory for " + maxTokens() + " more tokens"
        : "";
  }

  /** Checks whether the request is paid from a budget. */
  boolean needsTokens() {
    return call().prompt().isPresent() && team.isPresent();
  }

  /** Returns the most tokens that the request can cost. */
  long maxTokens() {
    return call().prompt().map(Prompt::maxTokens).orElse(0L);
  }

  /** Creates the admission of the request to its service. */
  RequestAdmission newAdmission() {
    long callerRemainingMs = call().deadlineMs().orElse(route.timeoutMs());
    return new RequestAdmission(
        received.dependencies().admissions().find(service),
        new AdmissionRequest(
            team.map(TeamPlan::name).orElse(""),
            team.map(TeamPlan::priority).orElse(OptionalInt.empty()).orElse(route.priority()),
            route.targetLatencyMs(),
            received.startMs() + callerRemainingMs));
  }

  CallerResponse response() {
    return received.response();
  }

  /** Returns the milliseconds since the request head arrived. */
  long elapsedMs() {
    return received.dependencies().timers().nowMs() - received.startMs();
  }

  /** Checks whether the request may be sent although the instance leaves. */
  boolean endsInTime() {
    return received.leaveEnd().allows(route.kind(), deadlineMs);
  }

  long remainingMs() {
    return deadlineMs - received.dependencies().timers().nowMs();
  }
}
