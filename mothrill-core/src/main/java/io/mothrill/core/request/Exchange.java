package io.mothrill.core.request;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.budget.BillPart;
import io.mothrill.core.budget.Reservation;
import io.mothrill.core.forward.crash.CrashRecord;
import io.mothrill.core.forward.crash.RequestCrashGuard;
import io.mothrill.core.request.UnrepeatableClaims.Outcome;
import io.mothrill.core.request.error.RefusedException;
import io.mothrill.core.routing.Assignment;
import io.mothrill.core.routing.Ticket;
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
 * One request on its way: planned, claimed, paid for, sent, answered and billed.
 *
 * <p>All of its steps run on the caller's executor, one after the other, so it needs no lock.
 */
public final class Exchange {

  private static final int FIRST_ERROR = 400;

  private final ExchangeParts parts;
  private final CallRequest request;
  private final CallerStream caller;
  private final Consumer<Exchange> onOver;
  private final AnswerDelivery answer;
  private final Set<String> failedUpstreams = new HashSet<>();
  private CallPlan plan;
  private RequestCrashGuard suspicion;
  private Reservation reservation;
  private Assignment assignment;
  private UpstreamExchange upstream;
  private Subscription deadline = () -> {};
  private Usage usage = Usage.NONE;
  private int attempts;
  private boolean claimed;
  private boolean mayHaveRun;
  private boolean over;

  Exchange(
      ExchangeParts parts, CallRequest request, CallerStream caller, Consumer<Exchange> onOver) {
    this.parts = parts;
    this.request = request;
    this.caller = caller;
    this.onOver = onOver;
    this.answer = new AnswerDelivery(caller, new AnswerLog(parts.settings().keptAnswerBytes()));
  }

  void start() {
    try {
      plan = parts.planner().plan(request);
    } catch (RefusedException ex) {
      caller.identify("", "");
      refuse(ex.refusal());
      return;
    }
    caller.identify(plan.requestId(), plan.key().key());
    suspicion = new RequestCrashGuard(parts.crashes(), plan::fingerprint, parts.timers());
    long timeoutMs = plan.deadlineMs() - parts.timers().nowMs();
    deadline = parts.timers().after(timeoutMs, () -> caller.execute(this::onDeadline));
    if (plan.keyed()) {
      new KeyedStart(parts, plan, caller, this).claim();
    } else {
      parts.records().begin(plan);
      claimed = true;
      unlessItCrashesUpstreams(this::reserve);
    }
  }

  /** Goes on unless upstreams have ended under the request, once that is known. */
  private void unlessItCrashesUpstreams(Runnable next) {
    suspicion.decide(
        caller, () -> ifGoingOn(next), record -> ifGoingOn(() -> failAsCrashing(record)));
  }

  private void ifGoingOn(Runnable step) {
    if (!over) {
      step.run();
    }
  }

  private void failAsCrashing(CrashRecord record) {
    long nowMs = parts.timers().nowMs();
    Logger.info("not sent request={} crashes={}", plan.requestId(), record.describe(nowMs));
    fail(Refusal.crashesUpstreams(record.retryAfterMs(nowMs)));
  }

  /** Continues with a result on the caller's executor, unless the exchange is over by then. */
  private <T> void then(CompletableFuture<T> future, Consumer<T> next) {
    var unused =
        future.whenComplete(
            (result, error) ->
                caller.execute(
                    () -> {
                      if (over) {
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

  boolean isOver() {
    return over;
  }

  void replay(Optional<StoredAnswer> stored) {
    if (stored.isEmpty()) {
      refuse(Refusal.answerGone());
      return;
    }
    answer.replay(stored.get());
    close();
  }

  void onMayRun() {
    claimed = true;
    unlessItCrashesUpstreams(this::reserve);
  }

  private void reserve() {
    then(
        parts.budgets().account(plan.budget()).reserve(plan.reserveTokens()),
        reserved -> {
          reservation = reserved;
          parts.retryBudget().onFirstTry();
          route();
        });
  }

  private void route() {
    Ticket ticket =
        new Ticket(
            plan.requestId(),
            request.service(),
            plan.key().team(),
            plan.priority(),
            request.affinity(),
            failedUpstreams,
            plan.deadlineMs());
    then(
        parts.router().route(ticket),
        assigned -> {
          assignment = assigned;
          unlessItCrashesUpstreams(this::claimBeforeSending);
        });
  }

  /** The claim comes last, so that a request which is refused before this leaves no claim. */
  private void claimBeforeSending() {
    if (plan.repeatable() || !plan.keyed() || attempts > 0) {
      send();
      return;
    }
    then(parts.unrepeatable().claim(plan.key(), plan.requestId()), this::onUnrepeatableClaim);
  }

  private void onUnrepeatableClaim(Outcome outcome) {
    switch (outcome) {
      case GRANTED -> send();
      case TAKEN -> {
        // This run did not run; the caller is told of the run that holds the claim.
        endRecord(Refusal.claimUnsafe());
        failUnclaimed(Refusal.outcomeUnknown());
      }
      default -> fail(Refusal.claimUnsafe());
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
            parts.settings().stallMs());
    upstream =
        parts.client().send(call, new Attempt(this, caller, attempts, assignment.upstream()));
  }

  /** Says whether an attempt is the one that counts; what others still say is dropped. */
  boolean isCurrent(int attempt) {
    return !over && attempt == attempts;
  }

  void head(int status, String contentType) {
    answer.head(status, contentType);
  }

  void piece(byte[] bytes, Usage used) {
    usage = used;
    boolean tooLong = request.streamed() && used.outputTokens() > plan.maxOutputTokens();
    if (tooLong) {
      cutOff();
      return;
    }
    answer.piece(bytes);
  }

  /** Ends an answer that is longer than its cap: no more was reserved for it. */
  private void cutOff() {
    upstream.cancel();
    Logger.warn("request={} exceeded its output cap and was cut", plan.requestId());
    answer.piece(request.cutEnding());
    end();
  }

  void end() {
    Optional<StoredAnswer> whole = answer.whole();
    if (answer.status() < FIRST_ERROR) {
      suspicion.onSuccess();
    }
    long owedTokens = plan.cost(answer.status(), usage.totalTokens());
    finish(owedTokens, whole, answer::end);
  }

  /** Settles, copies the bill to another instance, and only then lets the caller see the end. */
  private void finish(long usedTokens, Optional<StoredAnswer> whole, Runnable last) {
    over = true;
    releaseSlot();
    List<BillPart> owed = reservation.settle(usedTokens);
    Bill bill = new Bill(plan.requestId(), plan.key(), owed);
    CompletableFuture<Void> copied =
        parts
            .records()
            .finish(plan, new RunOutcome(false, Optional.of(bill), whole, reservation::cancelBill));
    parts.timers().after(parts.settings().finishWaitMs(), () -> copied.complete(null));
    var unused =
        copied.thenAccept(
            nothing ->
                caller.execute(
                    () -> {
                      last.run();
                      leave();
                    }));
  }

  void attemptFailed(UpstreamFailure failure) {
    if (failure.kind() == Kind.LEAVING) {
      assignment.upstream().markLeaving();
    } else {
      assignment.upstream().avoidUntil(parts.timers().nowMs() + parts.settings().avoidMs());
    }
    failure
        .restMs()
        .ifPresent(restMs -> assignment.upstream().restUntil(parts.timers().nowMs() + restMs));
    mayHaveRun |= !failure.isNotRun();
    if (failure.kind() == Kind.BROKEN) {
      suspicion.onConnectionLost(assignment.upstream().asServing());
    }
    failedUpstreams.add(assignment.upstream().name());
    Logger.info(
        "attempt failed request={} upstream={} kind={} detail={}",
        plan.requestId(),
        assignment.upstream().name(),
        failure.kind(),
        failure.detail());
    releaseSlot();
    if (mayTryAgain(failure)) {
      usage = Usage.NONE;
      unlessItCrashesUpstreams(this::route);
    } else {
      fail(Refusal.of(failure, plan.repeatable()));
    }
  }

  /**
   * A call that surely did not run may be sent again; one that may have run only when it is
   * repeatable and the caller has seen nothing of its answer.
   */
  private boolean mayTryAgain(UpstreamFailure failure) {
    boolean harmless = failure.isNotRun() || plan.repeatable();
    return harmless
        && !answer.isBegun()
        && attempts < parts.settings().maxAttempts()
        && parts.retryBudget().tryRetry();
  }

  private void onDeadline() {
    if (!over) {
      boolean sent = upstream != null;
      fail(Refusal.timeout(sent ? NotRun.UNKNOWN : NotRun.TRUE));
    }
  }

  /**
   * The caller went away.
   *
   * <p>A request with a key of the caller's own goes on, because the caller will ask for its answer
   * again. Any other is given up, and owes what it has used.
   */
  public void onCallerGone() {
    caller.execute(
        () -> {
          answer.onCallerGone();
          boolean goesOn = over || (plan != null && plan.keyed() && upstream != null);
          if (!goesOn) {
            giveUp();
          }
          if (upstream != null) {
            upstream.setReading(true);
          }
        });
  }

  private void giveUp() {
    if (upstream != null && usage.totalTokens() > 0) {
      upstream.cancel();
      finish(Math.min(usage.totalTokens(), plan.reserveTokens()), Optional.empty(), () -> {});
    } else {
      fail(Refusal.timeout(NotRun.UNKNOWN));
    }
  }

  /**
   * The caller reads more slowly than the answer comes, or keeps up again.
   *
   * @param writable whether more may be sent
   */
  public void onCallerWritable(boolean writable) {
    caller.execute(
        () -> {
          if (upstream != null && !over) {
            upstream.setReading(writable || answer.isCallerGone());
          }
        });
  }

  /**
   * Ends a request that was claimed or paid for without an answer.
   *
   * <p>Failure: one attempt broke off, and the next finds no upstream. Symptom: the caller is told
   * that the request did not run, although the first attempt did. What any attempt may have done
   * counts.
   */
  void fail(Refusal reason) {
    Refusal refusal = mayHaveRun ? reason.mayHaveRun() : reason;
    if (claimed || plan.keyed()) {
      endRecord(refusal);
    }
    failUnclaimed(refusal);
  }

  private void failUnclaimed(Refusal refusal) {
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
      parts.unrepeatable().release(plan.key(), plan.requestId());
    }
    var unused = parts.records().finish(plan, RunOutcome.failed(notRun));
  }

  void refuse(Refusal refusal) {
    Logger.info(
        "refused request={} status={} code={} notRun={}",
        plan == null ? "" : plan.requestId(),
        refusal.status(),
        refusal.code(),
        refusal.notRun());
    parts.metrics().counter(MetricRegistry.name("refused", refusal.code())).inc();
    answer.refuse(refusal);
    close();
  }

  private void releaseSlot() {
    if (assignment != null) {
      assignment.release();
    }
  }

  private void close() {
    over = true;
    leave();
  }

  private void leave() {
    deadline.cancel();
    onOver.accept(this);
  }
}
