package io.mothrill.wire.forward;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.admission.RequestAdmission;
import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.check.SendChecks;
import io.mothrill.core.forward.crash.CrashRecord;
import io.mothrill.core.forward.crash.RequestCrashGuard;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.Route;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.spending.SpendingException;
import io.mothrill.core.forward.spending.SpendingReservation;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.forward.upstream.UpstreamQuery.Eligibility;
import io.mothrill.core.time.Subscription;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Handles one request from its arrival to its final response, on the event loop of its caller.
 *
 * <p>A plain response is sent only once it is complete; a stream is relayed event by event. A
 * request is retried only if its upstream reported that it was not run, or if it may run more than
 * once.
 */
final class ForwardExchange
    implements AttemptOwner, RequestStarter.Request, UpstreamSearch.Listener {

  /** Maximum number of upstreams tried for one request, including those that did not run it. */
  private static final int MAX_ATTEMPTS = 3;

  /** Retry-After when no upstream can take the request: upstreams register within seconds. */
  static final long NO_UPSTREAM_RETRY_AFTER_MS = 700;

  /** Retry-After when all upstreams are full: most requests end within this time. */
  static final long FULL_RETRY_AFTER_MS = 400;

  /** The rejection of a request that upstreams have turned away. */
  static final Rejection FULL = new Rejection(Cause.ALL_FULL, FULL_RETRY_AFTER_MS);

  private static final long NO_PLAN_RETRY_AFTER_MS = 500;

  private final ReceivedRequest received;
  private final ForwardDependencies dependencies;
  private ForwardingPlan plan;
  private final UpstreamSearch search;
  private final ForwardProgress progress = new ForwardProgress();
  private String reason = "";
  private long reservationMs;
  private AdmittedRequest admitted;
  private Optional<RequestAdmission> admission = Optional.empty();
  private RequestCrashGuard requestCrashGuard;
  private Subscription deadlineTimer = () -> {};
  private SpendingReservation reservation = SpendingReservation.UNLIMITED;
  private boolean reserved;
  private ForwardAttempt attempt;
  private boolean ended;

  ForwardExchange(ReceivedRequest received) {
    this.received = received;
    this.dependencies = received.dependencies();
    this.search = new UpstreamSearch(dependencies, this::runOnEventLoop, this);
    this.plan = dependencies.plan().read();
  }

  /**
   * Starts the request, waiting for the initial plan and upstream list if they are not loaded yet.
   */
  void start() {
    InitialStateWait.run(dependencies, () -> runOnEventLoop(() -> ifActive(this::submit)));
  }

  private void submit() {
    plan = dependencies.plan().read();
    received.starter().submit(this);
  }

  @Override
  public boolean isCallerConnected() {
    return !ended && received.response().isConnected();
  }

  @Override
  public long receivedMs() {
    return received.startMs();
  }

  @Override
  public Terms startTerms() {
    Optional<Route> route = plan.findRoute(received.call().host(), received.call().path());
    int routePriority = route.map(Route::priority).orElse(0);
    int urgency =
        received
            .call()
            .key()
            .flatMap(plan::findTeamByKey)
            .map(team -> team.priority().orElse(routePriority))
            .orElse(routePriority);
    return new Terms(urgency, received.deadlineMs(route.map(Route::timeoutMs)));
  }

  @Override
  public void startNow() {
    plan = dependencies.plan().read();
    admitAndSend();
  }

  @Override
  public void rejectOverloaded(long retryAfterMs) {
    refuse(ForwardRefusal.retryAfter(Cause.OVERLOADED, retryAfterMs));
  }

  private void admitAndSend() {
    Optional<ForwardRefusal> refusal = admit();
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    PinnedRequest.find(admitted)
        .thenAccept(found -> runOnEventLoop(() -> ifActive(() -> onPinned(found))));
  }

  private void onPinned(Optional<PinnedRequest> found) {
    if (found.isEmpty()) {
      refuse(ForwardRefusal.retryAfter(Cause.ORIGIN_UNKNOWN, NO_UPSTREAM_RETRY_AFTER_MS));
      return;
    }
    admitted = found.get().request();
    progress.onPinned(admitted, found.get().pin());
    admitToService().ifPresentOrElse(this::refuse, this::sendAdmitted);
  }

  private void sendAdmitted() {
    requestCrashGuard = admitted.newCrashGuard();
    dependencies.retries().onRequest(admitted.service());
    deadlineTimer =
        dependencies.timers().after(admitted.remainingMs(), () -> runOnEventLoop(this::onDeadline));
    unlessQuarantined(this::reserveOrSend);
  }

  /**
   * Runs the next step unless the request is quarantined for crashing upstreams, once that is
   * decided.
   */
  private void unlessQuarantined(Runnable next) {
    requestCrashGuard.decide(
        this::runOnEventLoop,
        () -> ifActive(next),
        record -> ifActive(() -> refuseQuarantined(record)));
  }

  private void ifActive(Runnable step) {
    if (!ended) {
      step.run();
    }
  }

  private void refuseQuarantined(CrashRecord record) {
    reason = requestCrashGuard.describe(record);
    endWithoutResponse(Cause.CRASHES_UPSTREAMS, requestCrashGuard.retryAfterMs());
  }

  private void reserveOrSend() {
    if (admitted.needsTokens()) {
      reserve();
    } else {
      tryNextUpstream();
    }
  }

  private Optional<ForwardRefusal> admit() {
    if (!plan.isKnown()) {
      return Optional.of(ForwardRefusal.retryAfter(Cause.NO_PLAN, NO_PLAN_RETRY_AFTER_MS));
    }
    Optional<Route> found = plan.findRoute(received.call().host(), received.call().path());
    if (found.isEmpty()) {
      return Optional.of(ForwardRefusal.of(Cause.NO_ROUTE));
    }
    Route route = found.get();
    Optional<TeamPlan> team = received.call().key().flatMap(plan::findTeamByKey);
    boolean needsKey = !plan.teams().isEmpty() && !route.isPublic();
    admitted =
        new AdmittedRequest(
            received,
            route,
            route.selectService(dependencies.random().nextDouble()),
            needsKey ? team : Optional.empty(),
            received.deadlineMs(Optional.of(route.timeoutMs())));
    if (needsKey && team.isEmpty()) {
      return Optional.of(ForwardRefusal.of(Cause.UNKNOWN_KEY));
    }
    return admitted.endsInTime() ? Optional.empty() : Optional.of(ForwardServerState.LEAVING);
  }

  /** Refuses the request if it is not sent yet and could not end before the instance does. */
  void onLeaving() {
    if (admitted != null && !progress.mayHaveRun && !admitted.endsInTime()) {
      endLeaving();
    }
  }

  /** Ends the request, as the instance ends or will end before the request could. */
  void endLeaving() {
    cancelAttempt();
    endWithoutResponse(Cause.LEAVING, ForwardServerState.DRAINING_RETRY_AFTER_MS);
  }

  /** Refuses the request before it costs anything if its service is full. */
  private Optional<ForwardRefusal> admitToService() {
    admission = Optional.of(admitted.newAdmission());
    return admission
        .flatMap(RequestAdmission::admit)
        .map(rejection -> ForwardRefusal.retryAfter(rejection.cause(), rejection.retryAfterMs()));
  }

  /** A request that may have run is not given up, since it would be lost. */
  @Override
  public Optional<Rejection> onTurnedAway() {
    Optional<Rejection> rejection = admission.flatMap(RequestAdmission::onTurnedAway);
    return progress.mayHaveRun || progress.streamStarted ? Optional.empty() : rejection;
  }

  private void reserve() {
    dependencies
        .spending()
        .reserve(admitted.team().orElseThrow(), admitted.maxTokens())
        .whenComplete((granted, error) -> runOnEventLoop(() -> onReserved(granted, error)));
  }

  private void onReserved(SpendingReservation granted, Throwable error) {
    if (ended) {
      if (granted != null) {
        granted.settle(0);
      }
      return;
    }
    reservationMs = dependencies.timers().nowMs() - received.startMs();
    if (granted != null) {
      reservation = granted;
      reserved = true;
      tryNextUpstream();
      return;
    }
    reason = String.valueOf(Failures.unwrap(error).getMessage());
    refuse(SpendingException.refusalOf(error, NO_UPSTREAM_RETRY_AFTER_MS));
  }

  @Override
  public void tryNextUpstream() {
    if (ended) {
      return;
    }
    unlessQuarantined(admitted.endsInTime() ? search::findNext : this::endLeaving);
  }

  @Override
  public void onNoneFound(Rejection rejection) {
    reason = admitted.describe(rejection);
    endWithoutResponse(rejection.cause(), rejection.retryAfterMs());
  }

  @Override
  public void onFound(RegisteredUpstream upstream, SendLease lease) {
    attempt = new ForwardAttempt(admitted, progress, this, upstream, lease);
    attempt.connect();
  }

  @Override
  public UpstreamQuery query(Set<String> triedIncarnations) {
    return admitted.query(
        progress.pin.requiredVersion(),
        triedIncarnations,
        new Eligibility(
            admitted.deadlineMs(),
            !admitted.needsTokens() || reserved,
            requestCrashGuard::isQuarantined));
  }

  @Override
  public boolean mayBeSentTo(RegisteredUpstream upstream, SendLease lease) {
    return admitted.endsInTime() && search.admit(upstream, lease);
  }

  /** Ends the request without a response of an upstream. */
  @Override
  public void endWithoutResponse(Cause ifNotRun, long retryAfterMs) {
    if (progress.streamStarted) {
      end("broken", 0);
      received.response().abort();
    } else if (progress.mayHaveRun) {
      refuse(ForwardRefusal.of(ifNotRun.whenPossiblyRun()));
    } else {
      refuse(ForwardRefusal.retryAfter(ifNotRun, retryAfterMs));
    }
  }

  private void onDeadline() {
    if (ended) {
      return;
    }
    cancelAttempt();
    if (progress.streamStarted) {
      end("timeout", 0);
      received.response().abort();
    } else if (progress.mayHaveRun) {
      refuse(ForwardRefusal.of(Cause.TIMED_OUT));
    } else {
      refuse(ForwardRefusal.retryAfter(Cause.NOT_SENT_IN_TIME, FULL_RETRY_AFTER_MS));
    }
  }

  @Override
  public void refuse(ForwardRefusal fixed) {
    ForwardRefusal refusal = admission.map(request -> request.withRetryTime(fixed)).orElse(fixed);
    end(refusal.cause().name().toLowerCase(Locale.ROOT), refusal.cause().status());
    received
        .response()
        .sendFull(
            HttpResponseStatus.valueOf(refusal.cause().status()),
            dependencies.dialect().refusalHeaders(received.call(), refusal),
            Unpooled.EMPTY_BUFFER);
  }

  /** Called when the caller disconnects: the response is no longer needed. */
  void onCallerDisconnected() {
    if (!ended) {
      cancelAttempt();
      end("caller_gone", 0);
    }
  }

  /** Called when the caller's connection becomes writable or stops being writable. */
  void onWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  @Override
  public void abortSlowCaller() {
    if (!ended) {
      cancelAttempt();
      reason = "caller reads too slowly";
      end("slow_caller", 0);
      received.response().abort();
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
    }
  }

  @Override
  public void end(String outcome, int status) {
    ended = true;
    deadlineTimer.cancel();
    admission.ifPresent(request -> request.onEnded(outcome.equals(ForwardAttempt.SERVED)));
    RequestCost cost = new RequestCost(received.call().prompt(), progress);
    long chargedTokens = admitted == null ? 0 : cost.chargedTokens(plan, admitted.service());
    reservation.settle(chargedTokens);
    Optional<Fingerprint> fingerprint =
        requestCrashGuard == null ? Optional.empty() : requestCrashGuard.computedFingerprint();
    if (requestCrashGuard != null) {
      requestCrashGuard.onEnded();
    }
    received.body().release();
    dependencies
        .log()
        .onEnded(
            new ForwardedRequestLog.Entry(
                received.call().id(),
                admitted == null ? "" : admitted.route().name(),
                admitted == null ? "" : admitted.team().map(TeamPlan::name).orElse(""),
                outcome,
                status,
                reason,
                attempt == null ? progress.attempts : attempt.recordAndGetAttempts(outcome),
                new ForwardedRequestLog.Tokens(cost.maxTokens(), chargedTokens),
                reservationMs,
                progress.firstByteMs,
                dependencies.timers().nowMs() - received.startMs(),
                admitted == null ? 0 : admitted.route().targetLatencyMs(),
                plan.version(),
                fingerprint));
  }

  @Override
  public boolean hasEnded() {
    return ended;
  }

  @Override
  public boolean tryAcquireRetry() {
    Route route = admitted.route();
    return search.triedCount() < Math.max(MAX_ATTEMPTS, route.maxAttempts())
        && progress.runCount < route.maxAttempts()
        && admitted.remainingMs() > SendChecks.MIN_REMAINING_MS
        && dependencies.retries().tryAcquire(admitted.service());
  }

  @Override
  public boolean tryAcquireRerun() {
    return admitted.route().kind().isRetryable() && progress.isContinuable() && tryAcquireRetry();
  }

  @Override
  public RequestCrashGuard requestCrashGuard() {
    return requestCrashGuard;
  }

  private void runOnEventLoop(Runnable task) {
    if (received.loop().inEventLoop()) {
      task.run();
    } else {
      received.loop().execute(task);
    }
  }
}
