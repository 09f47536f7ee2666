package io.mothrill.core.request;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.budget.BillPart;
import io.mothrill.core.budget.Reservation;
import io.mothrill.core.forward.crash.CrashRecord;
import io.mothrill.core.forward.crash.RequestCrashGuard;
import io.mothrill.core.request.UnrepeatableClaims.Outcome;
import io.mothrill.core.request.error.RefusedException;
import io.mothrill.core.routing.Assignment;
import io.mothrill.core.routing.RoutingRequest;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.upstream.UpstreamCall;
import io.mothrill.core.upstream.UpstreamExchange;
import io.mothrill.core.upstream.UpstreamFailure;
import io.mothrill.core.upstream.UpstreamFailure.Kind;
import io.mothrill.core.upstream.Usage;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The processing of one request: planning, claim, reservation, routing, answer and billing.
 *
 * <p>All steps run sequentially on the caller's executor, so no lock is needed.
 */
public final class Exchange {

  private static final int FIRST_ERROR_STATUS = 400;

  private final ExchangeContext context;
  private final CallRequest request;
  private final CallerStream caller;
  private final Consumer<Exchange> onFinished;
  private final AnswerDelivery answer;
  private final Set<String> failedUpstreams = new HashSet<>();
  private CallPlan plan;
  private RequestCrashGuard crashGuard;
  private Reservation reservation;
  private Assignment assignment;
  private UpstreamExchange upstream;
  private Subscription deadline = () -> {};
  private Usage usage = Usage.NONE;
  private int attempts;
  private boolean claimed;
  private boolean mayHaveRun;
  private boolean finished;

  Exchange(
      ExchangeContext context,
      CallRequest request,
      CallerStream caller,
      Consumer<Exchange> onFinished) {
    this.context = context;
    this.request = request;
    this.caller = caller;
    this.onFinished = onFinished;
    this.answer =
        new AnswerDelivery(caller, new AnswerBuffer(context.settings().keptAnswerBytes()));
  }

  void start() {
    try {
      plan = context.planner().plan(request);
    } catch (RefusedException ex) {
      caller.identify("", "");
      refuse(ex.refusal());
      return;
    }
    caller.identify(plan.requestId(), plan.key().key());
    crashGuard =
        new RequestCrashGuard(context.crashes(), plan::fingerprint, List.of(), context.timers());
    long timeoutMs = plan.deadlineMs() - context.timers().nowMs();
    deadline = context.timers().after(timeoutMs, () -> caller.execute(this::onDeadline));
    if (plan.keyed()) {
      new KeyedStart(context, plan, caller, this).claim();
    } else {
      context.records().begin(plan);
      claimed = true;
      unlessSuspectedOfCrashes(this::reserve);
    }
  }

  /**
   * Continues with the next step once it is known that the request is not suspected of crashing
   * upstreams; otherwise refuses the request.
   */
  private void unlessSuspectedOfCrashes(Runnable next) {
    crashGuard.decide(
        caller, () -> ifActive(next), record -> ifActive(() -> refuseForCrashes(record)));
  }

  private void ifActive(Runnable step) {
    if (!finished) {
      step.run();
    }
  }

  private void refuseForCrashes(CrashRecord record) {
    long nowMs = context.timers().nowMs();
    Logger.info(
        "request not sent because upstreams crashed under it: request={} crashes={}",
        plan.requestId(),
        record.describe(nowMs));
    fail(Refusal.crashesUpstreams(crashGuard.retryAfterMs()));
  }

  /**
   * Continues with a result on the caller's executor. When the exchange has finished meanwhile, the
   * result is released instead.
   */
  private <T> void continueWith(CompletableFuture<T> future, Consumer<T> next) {
    var unused =
        future.whenComplete(
            (result, error) ->
                caller.execute(
                    () -> {
                      if (finished) {
                        discard(result);
                      } else if (error == null) {
                        next.accept(result);
                      } else {
                        fail(Refusal.of(error));
                      }
                    }));
  }

  private static void discard(Object result) {
    if (result instanceof Reservation late) {
      late.release();
    } else if (result instanceof Assignment late) {
      late.release();
    }
  }

  boolean isFinished() {
    return finished;
  }

  void replay(Optional<StoredAnswer> stored) {
    if (stored.isEmpty()) {
      refuse(Refusal.answerNotKept());
      return;
    }
    answer.replay(stored.get());
    close();
  }

  void onClaimed() {
    claimed = true;
    unlessSuspectedOfCrashes(this::reserve);
  }

  private void reserve() {
    continueWith(
        context.budgets().account(plan.budget()).reserve(plan.reserveTokens()),
        reserved -> {
          reservation = reserved;
          context.retryBudget().onFirstAttempt();
          route();
        });
  }

  private void route() {
    RoutingRequest routingRequest =
        new RoutingRequest(
            plan.requestId(),
            request.service(),
            plan.key().team(),
            plan.priority(),
            request.affinity(),
            failedUpstreams,
            plan.deadlineMs());
    continueWith(
        context.router().route(routingRequest),
        assigned -> {
          assignment = assigned;
          unlessSuspectedOfCrashes(this::claimBeforeSending);
        });
  }

  /**
   * Claims an unrepeatable request as the last step before sending, so that a request refused
   * earlier leaves no claim.
   */
  private void claimBeforeSending() {
    if (plan.repeatable() || !plan.keyed() || attempts > 0) {
      send();
      return;
    }
    continueWith(
        context.unrepeatable().claim(plan.key(), plan.requestId()), this::onUnrepeatableClaim);
  }

  private void onUnrepeatableClaim(Outcome outcome) {
    switch (outcome) {
      case GRANTED -> send();
      case TAKEN -> {
        // This run did not run. The caller is answered for the run that holds the claim.
        endRecord(Refusal.claimUnavailable());
        failWithoutRecord(Refusal.outcomeUnknown());
      }
      default -> fail(Refusal.claimUnavailable());
    }
  }

  private void send() {
    attempts++;
    UpstreamCall call =
        new UpstreamCall(
            plan.requestId(),
            assignment.upstream().spec(),
            plan.priority(),
            request.method(),
            request.path(),
            request.contentType(),
            request.body(),
            plan.maxOutputTokens(),
            request.streamed(),
            !plan.repeatable(),
            context.settings().stallMs());
    upstream =
        context
            .client()
            .send(call, new AttemptListener(this, caller, attempts, assignment.upstream()));
  }

  /** Checks whether an attempt is the current one. Events of other attempts are dropped. */
  boolean isCurrent(int attempt) {
    return !finished && attempt == attempts;
  }

  void head(int status, String contentType) {
    answer.head(status, contentType);
  }

  void chunk(byte[] bytes, Usage used) {
    usage = used;
    boolean exceedsLimit = request.streamed() && used.outputTokens() > plan.maxOutputTokens();
    if (exceedsLimit) {
      truncate();
      return;
    }
    answer.chunk(bytes);
  }

  /**
   * Ends an answer that exceeds its limit of output tokens, because no more tokens were reserved
   * for it.
   */
  private void truncate() {
    upstream.cancel();
    Logger.warn("answer truncated at its output token limit: request={}", plan.requestId());
    answer.chunk(request.truncationEnding());
    end();
  }

  void end() {
    Optional<StoredAnswer> completeAnswer = answer.completeAnswer();
    if (answer.status() < FIRST_ERROR_STATUS) {
      crashGuard.onSuccess();
    }
    long owedTokens = plan.cost(answer.status(), usage.totalTokens());
    finish(owedTokens, completeAnswer, answer::end);
  }

  /**
   * Settles the reservation and copies the bill to another instance before the end of the answer is
   * sent to the caller.
   */
  private void finish(long usedTokens, Optional<StoredAnswer> completeAnswer, Runnable completion) {
    finished = true;
    releaseSlot();
    List<BillPart> owed = reservation.settle(usedTokens);
    Bill bill = new Bill(plan.requestId(), plan.key(), owed);
    CompletableFuture<Void> copied =
        context
            .records()
            .finish(
                plan,
                new RunOutcome(false, Optional.of(bill), completeAnswer, reservation::cancelBill));
    context.timers().after(context.settings().finishWaitMs(), () -> copied.complete(null));
    var unused =
        copied.thenAccept(
            nothing ->
                caller.execute(
                    () -> {
                      completion.run();
                      deregister();
                    }));
  }

  void attemptFailed(UpstreamFailure failure) {
    if (failure.kind() == Kind.LEAVING) {
      assignment.upstream().markLeaving();
    } else {
      assignment.upstream().avoidUntil(context.timers().nowMs() + context.settings().avoidMs());
    }
    failure
        .retryAfterMs()
        .ifPresent(
            retryAfterMs ->
                assignment.upstream().backOffUntil(context.timers().nowMs() + retryAfterMs));
    mayHaveRun |= !failure.isNotRun();
    if (failure.kind() == Kind.BROKEN) {
      crashGuard.onConnectionLost(assignment.upstream().asRegistered());
    }
    failedUpstreams.add(assignment.upstream().name());
    Logger.info(
        "attempt failed: request={} upstream={} kind={} detail={}",
        plan.requestId(),
        assignment.upstream().name(),
        failure.kind(),
        failure.detail());
    releaseSlot();
    if (canRetry(failure)) {
      usage = Usage.NONE;
      unlessSuspectedOfCrashes(this::route);
    } else {
      fail(Refusal.of(failure, plan.repeatable()));
    }
  }

  /**
   * Checks whether the call may be retried. A call that certainly did not run may be sent again. A
   * call that may have run is sent again only when it is repeatable and no part of its answer has
   * been sent to the caller.
   */
  private boolean canRetry(UpstreamFailure failure) {
    boolean safeToRetry = failure.isNotRun() || plan.repeatable();
    return safeToRetry
        && !answer.isStarted()
        && attempts < context.settings().maxAttempts()
        && context.retryBudget().tryRetry();
  }

  private void onDeadline() {
    if (!finished) {
      boolean sent = upstream != null;
      fail(Refusal.timeout(sent ? NotRun.UNKNOWN : NotRun.TRUE));
    }
  }

  /**
   * Called when the caller has disconnected.
   *
   * <p>A request with an idempotency key of the caller continues, because the caller will retry to
   * get its answer. Any other request is abandoned and owes the tokens that it has used.
   */
  public void onCallerDisconnected() {
    caller.execute(
        () -> {
          answer.onCallerDisconnected();
          boolean continues = finished || (plan != null && plan.keyed() && upstream != null);
          if (!continues) {
            abandon();
          }
          if (upstream != null) {
            upstream.setReading(true);
          }
        });
  }

  private void abandon() {
    if (upstream != null && usage.totalTokens() > 0) {
      upstream.cancel();
      finish(Math.min(usage.totalTokens(), plan.reserveTokens()), Optional.empty(), () -> {});
    } else {
      fail(Refusal.timeout(NotRun.UNKNOWN));
    }
  }

  /**
   * Called when the caller's connection becomes writable or stops being writable, because the
   * caller reads more slowly than the answer arrives.
   *
   * @param writable whether more may be sent
   */
  public void onCallerWritable(boolean writable) {
    caller.execute(
        () -> {
          if (upstream != null && !finished) {
            upstream.setReading(writable || answer.isCallerDisconnected());
          }
        });
  }

  /**
   * Ends a request without an answer after it was claimed or tokens were reserved for it.
   *
   * <p>When one attempt broke off and the next finds no upstream, the caller must not be told that
   * the request did not run, because the first attempt may have run. The refusal therefore covers
   * all attempts.
   */
  void fail(Refusal reason) {
    Refusal refusal = mayHaveRun ? reason.asPossiblyRun() : reason;
    if (claimed || plan.keyed()) {
      endRecord(refusal);
    }
    failWithoutRecord(refusal);
  }

  private void failWithoutRecord(Refusal refusal) {
    if (upstream != null) {
      upstream.cancel();
    }
    releaseSlot();
    if (reservation != null) {
      reservation.release();
    }
    refuse(refusal);
  }

  private void endRecord(Refusal refusal) {
    boolean notRun = refusal.notRun() == NotRun.TRUE;
    if (!plan.repeatable() && plan.keyed() && notRun) {
      context.unrepeatable().release(plan.key(), plan.requestId());
    }
    var unused = context.records().finish(plan, RunOutcome.failed(notRun));
  }

  void refuse(Refusal refusal) {
    Logger.info(
        "request refused: request={} status={} code={} notRun={}",
        plan == null ? "" : plan.requestId(),
        refusal.status(),
        refusal.code(),
        refusal.notRun());
    context.metrics().counter(MetricRegistry.name("refused", refusal.code())).inc();
    answer.refuse(refusal);
    close();
  }

  private void releaseSlot() {
    if (assignment != null) {
      assignment.release();
    }
  }

  private void close() {
    finished = true;
    deregister();
  }

  private void deregister() {
    deadline.cancel();
    if (crashGuard != null) {
      crashGuard.onEnded();
    }
    onFinished.accept(this);
  }
}
