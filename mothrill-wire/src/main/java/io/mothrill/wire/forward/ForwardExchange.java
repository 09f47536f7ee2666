package io.mothrill.wire.forward;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.check.SendChecks;
import io.mothrill.core.forward.crash.CrashRecord;
import io.mothrill.core.forward.crash.RequestCrashGuard;
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
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Leads one request from its arrival to its final answer, on its caller's event loop.
 *
 * <p>An answer goes out only when it is whole; a stream goes out event by event. A request is sent
 * again only if its upstream said that it did not run it, or if it may run more than once.
 */
final class ForwardExchange implements ForwardAttempt.Owner {

  /** Most upstreams that one request is offered to, counting those that did not run it. */
  private static final int MAX_OFFERS = 3;

  /** When to come back if no upstream can take the request: they register within seconds. */
  static final long NO_UPSTREAM_RETRY_MS = 700;

  /** When to come back if all upstreams are full: most requests end within this time. */
  static final long FULL_RETRY_MS = 400;

  private static final long NO_PLAN_RETRY_MS = 500;

  /**
   * Longest wait of a process that has just started for its first plan and upstreams. They take a
   * few answers of the store; a caller that is sent away comes back half a second later at the
   * earliest.
   */
  private static final long KNOWN_WAIT_MS = 400;

  private final ForwardArrival arrival;
  private final ForwardParts parts;
  private ForwardingPlan plan;
  private final Set<String> tried = new LinkedHashSet<>();
  private final ForwardProgress progress = new ForwardProgress();
  private String reason = "";
  private long paidMs;
  private ForwardWork work;
  private RequestCrashGuard suspicion;
  private Subscription timeUp = () -> {};
  private SpendingReservation reservation = SpendingReservation.UNLIMITED;
  private boolean paid;
  private ForwardAttempt attempt;
  private boolean ended;

  ForwardExchange(ForwardArrival arrival) {
    this.arrival = arrival;
    this.parts = arrival.parts();
    this.plan = parts.plan().read();
  }

  /** Decides where the request goes and sends it, if need be once the process can decide. */
  void start() {
    if (parts.known().isDone()) {
      begin();
      return;
    }
    CompletableFuture<Void> waited = new CompletableFuture<>();
    parts.known().thenRun(() -> waited.complete(null));
    timeUp = parts.timers().after(KNOWN_WAIT_MS, () -> waited.complete(null));
    waited.thenRun(() -> onLoop(this::beginAfterWait));
  }

  private void beginAfterWait() {
    if (!ended) {
      timeUp.cancel();
      plan = parts.plan().read();
      begin();
    }
  }

  private void begin() {
    Optional<ForwardRefusal> refusal = admit();
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    suspicion = new RequestCrashGuard(parts.crashes(), work::fingerprint, parts.timers());
    parts.retries().onRequest(work.service());
    timeUp = parts.timers().after(work.leftMs(), () -> onLoop(this::onTimeUp));
    unlessItCrashesUpstreams(this::pay);
  }

  /** Goes on unless upstreams have ended under the request, once that is known. */
  private void unlessItCrashesUpstreams(Runnable next) {
    suspicion.decide(
        this::onLoop, () -> ifGoingOn(next), record -> ifGoingOn(() -> giveUpAsCrashing(record)));
  }

  private void ifGoingOn(Runnable step) {
    if (!ended) {
      step.run();
    }
  }

  private void giveUpAsCrashing(CrashRecord record) {
    long nowMs = parts.timers().nowMs();
    reason = record.describe(nowMs);
    giveUp(Cause.CRASHES_UPSTREAMS, record.retryAfterMs(nowMs));
  }

  private void pay() {
    if (needsTokens()) {
      reserve();
    } else {
      sendElsewhere();
    }
  }

  private Optional<ForwardRefusal> admit() {
    if (!plan.isKnown()) {
      return Optional.of(ForwardRefusal.retryAfter(Cause.NO_PLAN, NO_PLAN_RETRY_MS));
    }
    Optional<Route> found = plan.findRoute(arrival.call().host(), arrival.call().path());
    if (found.isEmpty()) {
      return Optional.of(ForwardRefusal.of(Cause.NO_ROUTE));
    }
    Route route = found.get();
    Optional<TeamPlan> team = arrival.call().key().flatMap(plan::findTeamByKey);
    boolean needsKey = !plan.teams().isEmpty() && !route.isPublic();
    work =
        new ForwardWork(
            arrival,
            route,
            route.selectService(parts.random().nextDouble()),
            needsKey ? team : Optional.empty(),
            arrival.startMs()
                + Math.min(route.timeoutMs(), arrival.call().deadlineMs().orElse(Long.MAX_VALUE)));
    return needsKey && team.isEmpty()
        ? Optional.of(ForwardRefusal.of(Cause.UNKNOWN_KEY))
        : Optional.empty();
  }

  private void reserve() {
    long tokens = arrival.call().prompt().orElseThrow().maxTokens();
    parts
        .spending()
        .reserve(work.team().orElseThrow(), tokens)
        .whenComplete((granted, error) -> onLoop(() -> onReserved(granted, error)));
  }

  private void onReserved(SpendingReservation granted, Throwable error) {
    if (ended) {
      if (granted != null) {
        granted.settle(0);
      }
      return;
    }
    paidMs = parts.timers().nowMs() - arrival.startMs();
    if (granted != null) {
      reservation = granted;
      paid = true;
      sendElsewhere();
      return;
    }
    reason = String.valueOf(Failures.unwrap(error).getMessage());
    refuse(
        Failures.unwrap(error) instanceof SpendingException spending && spending.isBudgetSpent()
            ? ForwardRefusal.of(Cause.BUDGET_SPENT)
            : ForwardRefusal.retryAfter(Cause.TOKENS_ELSEWHERE, retryAfterMs(error)));
  }

  private static long retryAfterMs(Throwable error) {
    return Failures.unwrap(error) instanceof SpendingException spending
        ? spending.retryAfterMs()
        : NO_UPSTREAM_RETRY_MS;
  }

  @Override
  public void sendElsewhere() {
    if (ended) {
      return;
    }
    unlessItCrashesUpstreams(this::choose);
  }

  private void choose() {
    UpstreamQuery query = query();
    Optional<RegisteredUpstream> upstream = parts.picker().pick(query);
    if (upstream.isEmpty()) {
      Rejection objection = parts.checks().findRejection(query);
      giveUp(objection.cause(), objection.retryAfterMs());
      return;
    }
    tried.add(upstream.get().incarnation());
    attempt = new ForwardAttempt(work, progress, this, upstream.get());
    attempt.connect();
  }

  private UpstreamQuery query() {
    return new UpstreamQuery(
        work.service(),
        work.route().targetLatencyMs(),
        arrival.call().prompt(),
        work.homes(),
        tried,
        new Eligibility(work.endMs(), !needsTokens() || paid, suspicion::isQuarantined));
  }

  private boolean needsTokens() {
    return arrival.call().prompt().isPresent() && work.team().isPresent();
  }

  @Override
  public boolean admits(RegisteredUpstream upstream) {
    return parts.checks().admit(upstream, query());
  }

  /** Ends the request without an answer of an upstream. */
  @Override
  public void giveUp(Cause ifNotRun, long retryAfterMs) {
    if (progress.streamStarted) {
      end("broken", 0);
      arrival.reply().breakOff();
    } else if (progress.mayHaveRun) {
      refuse(ForwardRefusal.of(ifNotRun.whenPossiblyRun()));
    } else {
      refuse(ForwardRefusal.retryAfter(ifNotRun, retryAfterMs));
    }
  }

  private void onTimeUp() {
    if (ended) {
      return;
    }
    abandonAttempt();
    if (progress.streamStarted) {
      end("timeout", 0);
      arrival.reply().breakOff();
    } else if (progress.mayHaveRun) {
      refuse(ForwardRefusal.of(Cause.TIMED_OUT));
    } else {
      refuse(ForwardRefusal.retryAfter(Cause.NOT_SENT_IN_TIME, FULL_RETRY_MS));
    }
  }

  @Override
  public void refuse(ForwardRefusal refusal) {
    end(refusal.cause().name().toLowerCase(Locale.ROOT), refusal.cause().status());
    arrival
        .reply()
        .sendWhole(
            HttpResponseStatus.valueOf(refusal.cause().status()),
            parts.dialect().ofRefusal(arrival.call(), refusal),
            Unpooled.EMPTY_BUFFER);
  }

  /** The caller has gone: nobody needs the answer any more. */
  void onCallerGone() {
    if (!ended) {
      abandonAttempt();
      end("caller_gone", 0);
    }
  }

  /** The caller can take more, or no more for now. */
  void onWritability(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  private void abandonAttempt() {
    if (attempt != null) {
      attempt.abandon();
    }
  }

  @Override
  public void end(String outcome, int status) {
    ended = true;
    timeUp.cancel();
    ForwardBill bill = new ForwardBill(arrival.call().prompt(), progress);
    long owedTokens = work == null ? 0 : bill.owedTokens(plan, work.service());
    reservation.settle(owedTokens);
    Optional<Fingerprint> fingerprint =
        suspicion == null ? Optional.empty() : suspicion.computedFingerprint();
    arrival.body().release();
    parts
        .log()
        .onEnded(
            new ForwardLog.Story(
                arrival.call().id(),
                work == null ? "" : work.route().name(),
                work == null ? "" : work.team().map(TeamPlan::name).orElse(""),
                outcome,
                status,
                reason,
                attempt == null ? progress.offers : attempt.withOffer(outcome),
                new ForwardLog.Tokens(bill.mostTokens(), owedTokens),
                paidMs,
                progress.firstMs,
                parts.timers().nowMs() - arrival.startMs(),
                work == null ? 0 : work.route().targetLatencyMs(),
                plan.version(),
                fingerprint));
  }

  @Override
  public boolean hasEnded() {
    return ended;
  }

  @Override
  public boolean mayOfferAgain() {
    Route route = work.route();
    return tried.size() < Math.max(MAX_OFFERS, route.maxAttempts())
        && progress.ranCount < route.maxAttempts()
        && work.leftMs() > SendChecks.MIN_REMAINING_MS
        && parts.retries().tryAcquire(work.service());
  }

  @Override
  public boolean mayRunAgain() {
    return work.route().kind().isRetryable() && mayOfferAgain();
  }

  @Override
  public RequestCrashGuard suspicion() {
    return suspicion;
  }

  private void onLoop(Runnable task) {
    if (arrival.loop().inEventLoop()) {
      task.run();
    } else {
      arrival.loop().execute(task);
    }
  }
}
