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
import io.mothrill.core.peer.PeerMessage.BillsPosted;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimReply.Verdict;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.CopyClaim;
import io.mothrill.core.peer.PeerMessage.CopyFinish;
import io.mothrill.core.peer.PeerMessage.FinishReply;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.platform.InstanceRecord;
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
import java.util.stream.Collectors;

/**
 * Keeps one record per request key, on two instances, before and after a run.
 *
 * <p>A run's bill is posted only after the key's first home has confirmed that the run counts. A
 * home that cannot be reached is asked again until it answers or has left the fleet, so a run
 * during a partition is billed, or dropped, when the partition ends.
 */
public final class RequestRecords {

  private static final long ASK_TIMEOUT_MS = 500;
  private static final long CONFIRM_TIMEOUT_MS = 2 * ASK_TIMEOUT_MS;
  private static final long ANSWER_WAIT_MS = 1_000;
  private static final long ANSWER_TIMEOUT_MS = 2_000;
  private static final long TICK_MS = 1_000;

  private final HomeRecords home;
  private final Section<Membership> members;
  private final PeerLinks links;
  private final BillForwarder bills;
  private final Timers timers;
  private final Queue<RequestKey> posted = new ConcurrentLinkedQueue<>();
  private final Map<String, Ended> unconfirmed = new ConcurrentHashMap<>();
  private final Map<RequestKey, Running> running = new ConcurrentHashMap<>();

  /**
   * Creates the records and starts their timers.
   *
   * @param home the records that this instance keeps
   * @param members the fleet
   * @param links the way to peers
   * @param dispatcher where requests from peers are served
   * @param bills where confirmed bills go
   * @param timers the time
   */
  public RequestRecords(
      HomeRecords home,
      Section<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      BillForwarder bills,
      Timers timers) {
    this.home = home;
    this.members = members;
    this.links = links;
    this.bills = bills;
    this.timers = timers;
    dispatcher.on(ClaimRequest.class, claim -> claimAsHome(claim).thenApply(reply -> reply));
    dispatcher.on(CopyClaim.class, copy -> reply(home.claim(copy.claim(), copy.takeover())));
    dispatcher.on(FinishRequest.class, end -> finishAsHome(end).thenApply(FinishReply::new));
    dispatcher.on(CopyFinish.class, this::onCopyFinish);
    dispatcher.on(BillsPosted.class, this::onBillsPosted);
    dispatcher.on(AnswerRequest.class, this::onAnswerRequest);
    timers.every(TICK_MS, this::tick);
  }

  private record Ended(FinishRequest finish, RunOutcome outcome, CompletableFuture<Void> copied) {}

  /** A run of this instance that others may wait for. */
  private record Running(String requestId, CompletableFuture<Optional<StoredAnswer>> answer) {}

  private static CompletableFuture<PeerMessage> reply(PeerMessage message) {
    return CompletableFuture.completedFuture(message);
  }

  /**
   * Asks whether a request may run.
   *
   * <p>The run is noted here before the home decides: another instance that is told to wait for it
   * may ask for its answer before the home's reply has come back.
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
    running.putIfAbsent(plan.key(), run);
    return claimAt(claim, Homes.of(plan.key(), members.read()), 0)
        .whenComplete(
            (reply, error) -> {
              if (reply == null || reply.verdict() != Verdict.RUN) {
                endWaiting(plan.key(), plan.requestId(), Optional.empty());
              }
            });
  }

  private void endWaiting(RequestKey key, String requestId, Optional<StoredAnswer> answer) {
    Running run = running.get(key);
    if (run != null && run.requestId().equals(requestId) && running.remove(key, run)) {
      run.answer().complete(answer);
    }
  }

  /**
   * Claims at the first home, or at the second when the first does not answer.
   *
   * <p>When neither answers, the request runs under this instance's own record; its bill waits
   * until the first home has confirmed it.
   */
  private CompletableFuture<ClaimReply> claimAt(
      ClaimRequest claim, List<InstanceRecord> homes, int index) {
    if (index == homes.size()) {
      return CompletableFuture.completedFuture(home.claim(claim, false));
    }
    InstanceRecord first = homes.get(index);
    if (members.read().isSelf(first)) {
      return claimAsHome(claim);
    }
    if (!members.read().isReachable(first)) {
      return claimAt(claim, homes, index + 1);
    }
    return links
        .ask(first, claim, ASK_TIMEOUT_MS)
        .handle((message, error) -> message instanceof ClaimReply reply ? reply : null)
        .thenCompose(
            reply ->
                reply == null
                    ? claimAt(claim, homes, index + 1)
                    : CompletableFuture.completedFuture(reply));
  }

  private CompletableFuture<ClaimReply> claimAsHome(ClaimRequest claim) {
    ClaimReply own = home.claim(claim, false);
    Optional<InstanceRecord> second = otherHome(claim.key());
    if (own.verdict() != Verdict.RUN || second.isEmpty()) {
      return CompletableFuture.completedFuture(own);
    }
    return links
        .ask(second.get(), new CopyClaim(claim, true), ASK_TIMEOUT_MS)
        .handle((message, error) -> message instanceof ClaimReply copy ? copy : own);
  }

  private Optional<InstanceRecord> otherHome(RequestKey key) {
    Membership view = members.read();
    return Homes.of(key, view).stream()
        .filter(instance -> !view.isSelf(instance) && view.isReachable(instance))
        .findFirst();
  }

  /**
   * Decides as the first home whether a run counts; the second home has a say.
   *
   * <p>Failure: a home is paused or cut off, another one takes its place and confirms another run
   * of the key. Symptom: when the first one is back, it confirms its own run, and the key is billed
   * twice. The second home of the one view is a home in the other view as well, so it knows.
   */
  private CompletableFuture<FinishReply.Verdict> finishAsHome(FinishRequest finish) {
    Membership view = members.read();
    Optional<InstanceRecord> second =
        Homes.of(finish.key(), view).stream().filter(at -> !view.isSelf(at)).findFirst();
    FinishReply.Verdict own = home.finishAsFirst(finish);
    if (own == FinishReply.Verdict.SUPERSEDED || second.isEmpty()) {
      home.agreed(finish);
      return CompletableFuture.completedFuture(own);
    }
    return links
        .ask(second.get(), new CopyFinish(finish, true), ASK_TIMEOUT_MS)
        .handle(
            (message, error) ->
                message instanceof FinishReply told ? told.verdict() : FinishReply.Verdict.HELD)
        .whenComplete(
            (verdict, error) -> {
              if (verdict == FinishReply.Verdict.SUPERSEDED) {
                home.forget(finish);
              } else if (verdict == FinishReply.Verdict.CONFIRMED) {
                home.agreed(finish);
              }
            });
  }

  private CompletableFuture<PeerMessage> onCopyFinish(CopyFinish copy) {
    if (copy.decided()) {
      return reply(new FinishReply(home.agreeAsSecond(copy.finish())));
    }
    home.copy(copy.finish());
    return reply(new FinishReply(FinishReply.Verdict.HELD));
  }

  /**
   * Reports the end of a run.
   *
   * @param plan the request
   * @param outcome what came of it
   * @return completes when another instance has a copy of the bill, or has to be waited for
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
    Ended ended = new Ended(finish, outcome, new CompletableFuture<>());
    unconfirmed.put(finish.requestId(), ended);
    confirm(ended);
    return ended.copied();
  }

  private void confirm(Ended ended) {
    List<InstanceRecord> homes = Homes.of(ended.finish().key(), members.read());
    InstanceRecord first = homes.get(0);
    CompletableFuture<FinishReply.Verdict> verdict =
        members.read().isSelf(first)
            ? finishAsHome(ended.finish())
            : links
                .ask(first, ended.finish(), CONFIRM_TIMEOUT_MS)
                .thenApply(message -> ((FinishReply) message).verdict());
    var unused =
        verdict.whenComplete(
            (found, error) -> {
              if (error != null) {
                copyToSecond(ended, homes);
              } else if (found == FinishReply.Verdict.HELD) {
                noteCopied(ended, first);
              } else {
                settle(ended, found == FinishReply.Verdict.CONFIRMED);
              }
            });
  }

  /** A copy on this very instance would be lost together with the original. */
  private void noteCopied(Ended ended, InstanceRecord at) {
    if (!members.read().isSelf(at)) {
      ended.copied().complete(null);
    }
  }

  /** Lets the caller have its answer while the first home is away: the second has the bill. */
  private void copyToSecond(Ended ended, List<InstanceRecord> homes) {
    InstanceRecord second = homes.get(homes.size() - 1);
    if (ended.copied().isDone() || members.read().isSelf(second)) {
      return;
    }
    var unused =
        links
            .ask(second, new CopyFinish(ended.finish(), false), ASK_TIMEOUT_MS)
            .thenAccept(message -> noteCopied(ended, second))
            .exceptionally(error -> null);
  }

  private void settle(Ended ended, boolean counts) {
    if (unconfirmed.remove(ended.finish().requestId()) == null) {
      return;
    }
    ended.copied().complete(null);
    if (!counts) {
      ended.outcome().cancelBill().run();
    } else if (ended.finish().bill().isPresent()) {
      post(ended.finish(), bills::add);
    }
  }

  /** Posts a bill and then tells the homes, which drop their copies. */
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

  private CompletableFuture<PeerMessage> onBillsPosted(BillsPosted message) {
    home.posted(message.keys());
    return reply(new PeerMessage.Done());
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
    home.forgetOld();
    unconfirmed.values().forEach(this::confirm);
    home.orphaned().forEach(this::billForGoneRunner);
    tellPosted();
  }

  /** The first home bills a run whose runner is gone, once it is agreed that the run counts. */
  private void billForGoneRunner(FinishRequest finish) {
    Membership view = members.read();
    if (!view.isSelf(Homes.of(finish.key(), view).get(0))) {
      return;
    }
    var unused =
        finishAsHome(finish)
            .thenAccept(
                verdict -> {
                  if (verdict == FinishReply.Verdict.CONFIRMED) {
                    post(finish, bills::recover);
                  }
                });
  }

  private void tellPosted() {
    List<RequestKey> keys = new ArrayList<>();
    for (RequestKey key = posted.poll(); key != null; key = posted.poll()) {
      keys.add(key);
    }
    if (keys.isEmpty()) {
      return;
    }
    home.posted(keys);
    Membership view = members.read();
    Map<InstanceRecord, List<RequestKey>> byHome =
        keys.stream()
            .flatMap(key -> Homes.of(key, view).stream().map(at -> Map.entry(at, key)))
            .filter(entry -> !view.isSelf(entry.getKey()))
            .collect(
                Collectors.groupingBy(
                    Map.Entry::getKey,
                    Collectors.mapping(Map.Entry::getValue, Collectors.toList())));
    byHome.forEach(
        (at, some) -> {
          var unused =
              links.ask(at, new BillsPosted(some), ASK_TIMEOUT_MS).exceptionally(error -> null);
        });
  }

  /**
   * Counts runs that no home has confirmed yet.
   *
   * @return runs whose bills wait
   */
  public int unconfirmedCount() {
    return unconfirmed.size();
  }

  /** Hands what is kept here to the homes that keys have without this instance. */
  public void handOver() {
    Membership view = members.read();
    home.finished()
        .forEach(
            finish ->
                Homes.of(finish.key(), view).stream()
                    .filter(at -> !view.isSelf(at) && view.isReachable(at))
                    .forEach(at -> send(at, finish)));
  }

  private void send(InstanceRecord at, FinishRequest finish) {
    var unused =
        links.ask(at, new CopyFinish(finish, false), ASK_TIMEOUT_MS).exceptionally(error -> null);
  }
}
