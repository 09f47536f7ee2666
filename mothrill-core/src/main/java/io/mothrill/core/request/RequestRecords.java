package io.mothrill.core.request;

import io.mothrill.core.board.Section;
import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.BillForwarder;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.AnswerReply;
import io.mothrill.core.peer.PeerMessage.AnswerRequest;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimReply.Verdict;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.peer.PeerMessage.KeepCopy;
import io.mothrill.core.range.RangeAuthority;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiFunction;
import org.tinylog.Logger;

/**
 * The runs of this instance, from their claim to their bill.
 *
 * <p>A run's bill is posted only after the owner of its key's range has confirmed that the run
 * counts. An owner that cannot be reached is asked again until it, or its successor, answers, so a
 * run during a partition is billed, or dropped, when the partition ends.
 */
public final class RequestRecords {

  private static final long ASK_TIMEOUT_MS = 500;
  private static final int CLAIM_ATTEMPTS = 4;
  private static final long CLAIM_RETRY_MS = 500;
  private static final long ANSWER_WAIT_MS = 1_000;
  private static final long ANSWER_TIMEOUT_MS = 2_000;
  private static final long TICK_MS = 1_000;

  private final RangeAuthority authority;
  private final Section<Membership> members;
  private final PeerLinks links;
  private final BillForwarder bills;
  private final Timers timers;
  private final long decisionMs;
  private final Queue<RequestKey> posted = new ConcurrentLinkedQueue<>();
  private final Map<String, Ended> unconfirmed = new ConcurrentHashMap<>();
  private final Map<String, Ended> keptForOthers = new ConcurrentHashMap<>();
  private final Map<RequestKey, Running> running = new ConcurrentHashMap<>();

  /**
   * Creates the records and starts their timers.
   *
   * @param authority decides about keys
   * @param members the fleet
   * @param links the way to peers
   * @param dispatcher where requests from peers are served
   * @param bills where confirmed bills go
   * @param timers the time
   * @param decisionMs how long it is remembered which run of a key counts
   */
  public RequestRecords(
      RangeAuthority authority,
      Section<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      BillForwarder bills,
      Timers timers,
      long decisionMs) {
    this.authority = authority;
    this.members = members;
    this.links = links;
    this.bills = bills;
    this.timers = timers;
    this.decisionMs = decisionMs;
    dispatcher.on(AnswerRequest.class, this::onAnswerRequest);
    dispatcher.on(KeepCopy.class, this::onKeepCopy);
    timers.every(TICK_MS, this::tick);
  }

  /** A run that has ended, until it is known whether it counts. */
  private record Ended(
      FinishRequest finish, RunOutcome outcome, CompletableFuture<Void> copied, long atMs) {}

  /** A run of this instance that others may wait for. */
  private record Running(String requestId, CompletableFuture<Optional<StoredAnswer>> answer) {}

  /**
   * Asks whether a request may run.
   *
   * <p>The run is noted here before the owner decides: another instance that is told to wait for it
   * may ask for its answer before the owner's reply has come back. When no owner can be reached the
   * request runs, and whether it is billed is decided later.
   *
   * @param plan the request
   * @return what to do; never fails
   */
  public CompletableFuture<ClaimReply> claim(CallPlan plan) {
    ClaimRequest claim =
        new ClaimRequest(
            plan.key(),
            members.read().self().incarnation(),
            plan.requestId(),
            plan.request().fingerprint(),
            plan.repeatable());
    Running run = new Running(plan.requestId(), new CompletableFuture<>());
    Running earlier = running.putIfAbsent(plan.key(), run);
    return askOwner(claim, 1)
        .thenApply(reply -> reply.orElseGet(() -> withoutOwner(earlier)))
        .whenComplete(
            (reply, error) -> {
              if (reply == null || reply.verdict() != Verdict.RUN) {
                endWaiting(plan.key(), plan.requestId(), Optional.empty());
              }
            });
  }

  /** Waits a little for a range that is changing hands, before running without its owner. */
  private CompletableFuture<Optional<ClaimReply>> askOwner(ClaimRequest claim, int attempt) {
    return authority
        .mayRun(claim)
        .thenCompose(
            reply -> {
              if (reply.isPresent() || attempt == CLAIM_ATTEMPTS) {
                return CompletableFuture.completedFuture(reply);
              }
              CompletableFuture<Void> waited = new CompletableFuture<>();
              timers.after(CLAIM_RETRY_MS, () -> waited.complete(null));
              return waited.thenCompose(nothing -> askOwner(claim, attempt + 1));
            });
  }

  private ClaimReply withoutOwner(Running earlier) {
    return earlier == null
        ? new ClaimReply(Verdict.RUN, "", Optional.empty())
        : new ClaimReply(Verdict.JOIN, members.read().self().incarnation(), Optional.empty());
  }

  private void endWaiting(RequestKey key, String requestId, Optional<StoredAnswer> answer) {
    Running run = running.get(key);
    if (run != null && run.requestId().equals(requestId) && running.remove(key, run)) {
      run.answer().complete(answer);
    }
  }

  /**
   * Reports the end of a run.
   *
   * @param plan the request
   * @param outcome what came of it
   * @return completes when another instance has a copy of the bill
   */
  public CompletableFuture<Void> finish(CallPlan plan, RunOutcome outcome) {
    FinishRequest finish =
        new FinishRequest(
            plan.key(),
            plan.requestId(),
            members.read().self().incarnation(),
            plan.request().fingerprint(),
            outcome.notRun(),
            outcome.bill(),
            outcome.answer());
    endWaiting(plan.key(), plan.requestId(), outcome.answer());
    Ended ended = new Ended(finish, outcome, new CompletableFuture<>(), timers.nowMs());
    unconfirmed.put(finish.requestId(), ended);
    confirm(ended);
    return ended.copied();
  }

  private void confirm(Ended ended) {
    if (timers.nowMs() - ended.atMs() > decisionMs / 2) {
      Logger.error("request={} could not be decided and is not billed", ended.finish().requestId());
      settle(ended, false);
      return;
    }
    var unused =
        authority
            .finish(ended.finish())
            .thenAccept(
                verdict -> {
                  switch (verdict) {
                    case CONFIRMED -> settle(ended, true);
                    case SUPERSEDED -> settle(ended, false);
                    default -> keepCopyElsewhere(ended);
                  }
                });
  }

  private void settle(Ended ended, boolean counts) {
    boolean own = unconfirmed.remove(ended.finish().requestId()) != null;
    boolean kept = keptForOthers.remove(ended.finish().requestId()) != null;
    if (!own && !kept) {
      return;
    }
    ended.copied().complete(null);
    if (!counts) {
      ended.outcome().cancelBill().run();
    } else if (ended.finish().bill().isPresent()) {
      post(ended.finish(), own ? bills::add : bills::recover);
    }
  }

  /**
   * Gives another instance a copy of a bill that cannot be decided about yet.
   *
   * <p>Failure: the runner dies before the owner can be asked. Symptom: an answer that a caller has
   * is never billed. Whoever has the copy asks in the runner's place once that is gone.
   */
  private void keepCopyElsewhere(Ended ended) {
    if (ended.copied().isDone() || ended.finish().bill().isEmpty()) {
      ended.copied().complete(null);
      return;
    }
    members.read().reachableOthers().stream()
        .findFirst()
        .ifPresent(
            peer -> {
              var unused =
                  links
                      .ask(peer, new KeepCopy(ended.finish().withoutAnswer()), ASK_TIMEOUT_MS)
                      .thenAccept(reply -> ended.copied().complete(null))
                      .exceptionally(error -> null);
            });
  }

  private CompletableFuture<PeerMessage> onKeepCopy(KeepCopy message) {
    FinishRequest finish = message.finish();
    RunOutcome outcome = new RunOutcome(finish.notRun(), finish.bill(), finish.answer(), () -> {});
    keptForOthers.put(
        finish.requestId(), new Ended(finish, outcome, new CompletableFuture<>(), timers.nowMs()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  /** Posts a bill and notes it, so that the owner of the key can be told. */
  private void post(
      FinishRequest finish, BiFunction<AllotmentId, LedgerEntry, CompletableFuture<Void>> ledger) {
    Bill bill = finish.bill().orElseThrow();
    CompletableFuture<?>[] parts =
        bill.parts().stream()
            .map(
                part ->
                    ledger.apply(
                        part.allotment(),
                        new LedgerEntry(bill.requestId(), bill.key().toString(), part.tokens())))
            .toArray(CompletableFuture[]::new);
    var unused = CompletableFuture.allOf(parts).thenAccept(nothing -> posted.add(finish.key()));
  }

  /**
   * Waits for the answer of a request that an instance runs.
   *
   * <p>The runner is asked again and again, so that one that is gone is noticed soon.
   *
   * @param key the request key
   * @param runner the incarnation that runs it
   * @return the answer; empty when the run failed; fails when the runner does not answer
   */
  public CompletableFuture<Optional<StoredAnswer>> join(RequestKey key, String runner) {
    Membership view = members.read();
    if (view.self().incarnation().equals(runner)) {
      return answerOf(key);
    }
    return view.find(runner)
        .map(peer -> links.ask(peer, new AnswerRequest(key), ANSWER_TIMEOUT_MS))
        .orElseGet(() -> CompletableFuture.failedFuture(new IllegalStateException("runner gone")))
        .thenCompose(
            message -> {
              AnswerReply reply = (AnswerReply) message;
              return reply.pending()
                  ? join(key, runner)
                  : CompletableFuture.completedFuture(reply.answer());
            });
  }

  private CompletableFuture<PeerMessage> onAnswerRequest(AnswerRequest request) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    timers.after(ANSWER_WAIT_MS, () -> reply.complete(new AnswerReply(true, Optional.empty())));
    var unused =
        answerOf(request.key())
            .thenAccept(answer -> reply.complete(new AnswerReply(false, answer)));
    return reply;
  }

  private CompletableFuture<Optional<StoredAnswer>> answerOf(RequestKey key) {
    Running run = running.get(key);
    return run == null ? CompletableFuture.completedFuture(Optional.empty()) : run.answer();
  }

  private void tick() {
    unconfirmed.values().forEach(this::confirm);
    Membership view = members.read();
    keptForOthers.values().stream()
        .filter(ended -> view.find(ended.finish().runner()).isEmpty())
        .forEach(this::confirm);
    keptForOthers.values().removeIf(ended -> timers.nowMs() - ended.atMs() > decisionMs);
    authority.orphaned().forEach(finish -> post(finish, bills::recover));
    tellPosted();
  }

  private void tellPosted() {
    List<RequestKey> keys = new ArrayList<>();
    for (RequestKey key = posted.poll(); key != null; key = posted.poll()) {
      keys.add(key);
    }
    if (!keys.isEmpty()) {
      authority.posted(keys);
    }
  }

  /**
   * Counts runs of which it is not decided yet whether they count.
   *
   * @return runs whose bills wait
   */
  public int unconfirmedCount() {
    return unconfirmed.size();
  }
}
