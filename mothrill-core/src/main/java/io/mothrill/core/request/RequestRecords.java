package io.mothrill.core.request;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.BillForwarder;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.BillsPosted;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimReply.Verdict;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.peer.PeerMessage.KeepCopy;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.range.RangeCoordinator;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * The runs of this instance, from their claim to their bill.
 *
 * <p>The bill of a run is posted only after the owner of its key's range has confirmed that the run
 * counts. An unreachable owner is asked again until it or its successor responds, so a run during a
 * partition is billed or dropped when the partition ends.
 */
public final class RequestRecords {

  private static final long ASK_TIMEOUT_MS = 500;
  private static final int CLAIM_ATTEMPTS = 4;
  private static final long CLAIM_RETRY_MS = 500;
  private static final long TICK_MS = 1_000;

  private final RangeCoordinator ranges;
  private final PendingAnswers answers;
  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final BillForwarder bills;
  private final Timers timers;
  private final long decisionMs;
  private final Queue<EndedRun> posted = new ConcurrentLinkedQueue<>();
  private final Map<String, EndedRun> unconfirmed = new ConcurrentHashMap<>();
  private final Map<String, EndedRun> copiesForPeers = new ConcurrentHashMap<>();

  /**
   * Creates the records and starts the periodic work.
   *
   * @param ranges decides which run of a key counts
   * @param answers lets other instances wait for the answers of runs of this instance
   * @param members the current membership
   * @param links sends requests to peers
   * @param dispatcher where the handlers of peer requests are registered
   * @param bills receives confirmed bills
   * @param timers the clock and timer service
   * @param decisionMs the retention of the decision which run of a key counts
   */
  public RequestRecords(
      RangeCoordinator ranges,
      PendingAnswers answers,
      PublishedValue<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      BillForwarder bills,
      Timers timers,
      long decisionMs) {
    this.ranges = ranges;
    this.answers = answers;
    this.members = members;
    this.links = links;
    this.bills = bills;
    this.timers = timers;
    this.decisionMs = decisionMs;
    dispatcher.on(KeepCopy.class, this::onKeepCopy);
    dispatcher.on(BillsPosted.class, this::onBillsPosted);
    timers.every(TICK_MS, this::tick);
  }

  /** A run that has ended and of which it is not yet decided whether it counts. */
  private record EndedRun(
      FinishRequest finish,
      RunOutcome outcome,
      CompletableFuture<Void> copied,
      AtomicReference<InstanceRecord> copyHolder,
      long atMs) {

    EndedRun(FinishRequest finish, RunOutcome outcome, long atMs) {
      this(finish, outcome, new CompletableFuture<>(), new AtomicReference<>(), atMs);
    }
  }

  /**
   * Records a run under a generated key. It may run without asking an owner.
   *
   * @param plan the request
   */
  public void begin(CallPlan plan) {
    var unused = answers.begin(plan.key(), plan.requestId());
    ranges.beginGenerated(claimOf(plan));
  }

  private ClaimRequest claimOf(CallPlan plan) {
    return new ClaimRequest(
        plan.key(),
        members.read().self().incarnation(),
        plan.requestId(),
        plan.request().fingerprint(),
        plan.repeatable());
  }

  /**
   * Requests permission to run a request.
   *
   * <p>The run is recorded here before the owner decides, because another instance that is told to
   * wait for it may request its answer before the reply of the owner arrives here. When no owner
   * can be reached, the request runs, and it is decided later whether it is billed.
   *
   * @param plan the request
   * @return the verdict; never fails
   */
  public CompletableFuture<ClaimReply> claim(CallPlan plan) {
    ClaimRequest claim = claimOf(plan);
    boolean first = answers.begin(plan.key(), plan.requestId());
    return askOwner(claim, 1)
        .thenApply(reply -> reply.orElseGet(() -> claimWithoutOwner(first)))
        .whenComplete(
            (reply, error) -> {
              if (reply == null || reply.verdict() != Verdict.RUN) {
                answers.end(plan.key(), plan.requestId(), Optional.empty());
              }
            });
  }

  /**
   * Retries for a short time while a range changes its owner, before the request runs without the
   * owner.
   */
  private CompletableFuture<Optional<ClaimReply>> askOwner(ClaimRequest claim, int attempt) {
    return ranges
        .claimRun(claim)
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

  private ClaimReply claimWithoutOwner(boolean first) {
    return first
        ? new ClaimReply(Verdict.RUN, "", Optional.empty())
        : new ClaimReply(Verdict.JOIN, members.read().self().incarnation(), Optional.empty());
  }

  /**
   * Reports the end of a run.
   *
   * @param plan the request
   * @param outcome the outcome of the run
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
    answers.end(plan.key(), plan.requestId(), outcome.answer());
    EndedRun ended = new EndedRun(finish, outcome, timers.nowMs());
    unconfirmed.put(finish.requestId(), ended);
    confirm(ended);
    return ended.copied();
  }

  /**
   * Confirms a run under a generated key. It always counts, and its bill is copied before it is
   * posted.
   */
  private void confirmGenerated(EndedRun ended) {
    ranges.endGenerated(ended.finish());
    var unused = ended.copied().thenAccept(nothing -> settle(ended, true));
    replicateBill(ended);
    if (members.read().reachableOthers().isEmpty()) {
      ended.copied().complete(null);
    }
  }

  private boolean hasGeneratedKey(EndedRun ended) {
    return GeneratedKey.issuerOf(ended.finish().key())
        .filter(issuer -> issuer.equals(ended.finish().runner()))
        .isPresent();
  }

  private void confirm(EndedRun ended) {
    if (hasGeneratedKey(ended)) {
      confirmGenerated(ended);
      return;
    }
    if (timers.nowMs() - ended.atMs() > decisionMs / 2) {
      Logger.error(
          "run not billed because its key range could not confirm it in time: request={}",
          ended.finish().requestId());
      settle(ended, false);
      return;
    }
    var unused =
        ranges
            .finish(ended.finish())
            .thenAccept(
                verdict -> {
                  switch (verdict) {
                    case CONFIRMED -> settle(ended, true);
                    case SUPERSEDED -> settle(ended, false);
                    default -> replicateBill(ended);
                  }
                });
  }

  private void settle(EndedRun ended, boolean counts) {
    boolean ownRun = unconfirmed.remove(ended.finish().requestId()) != null;
    boolean copyForPeer = copiesForPeers.remove(ended.finish().requestId()) != null;
    if (!ownRun && !copyForPeer) {
      return;
    }
    ended.copied().complete(null);
    if (!counts) {
      ended.outcome().cancelBill().run();
    } else if (ended.finish().bill().isPresent()) {
      post(ended, ownRun ? bills::add : bills::recover);
    }
  }

  /**
   * Sends a copy of a bill that cannot be decided yet to another instance.
   *
   * <p>If the runner crashed before the owner could be asked, an answer that the caller received
   * would never be billed. The instance with the copy asks the owner in place of the runner once
   * the runner has left the fleet.
   */
  private void replicateBill(EndedRun ended) {
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
                      .request(peer, new KeepCopy(ended.finish().withoutAnswer()), ASK_TIMEOUT_MS)
                      .thenAccept(reply -> recordCopyHolder(ended, peer))
                      .exceptionally(error -> null);
            });
  }

  private static void recordCopyHolder(EndedRun ended, InstanceRecord peer) {
    ended.copyHolder().set(peer);
    ended.copied().complete(null);
  }

  private CompletableFuture<PeerMessage> onKeepCopy(KeepCopy message) {
    FinishRequest finish = message.finish();
    RunOutcome outcome = new RunOutcome(finish.notRun(), finish.bill(), finish.answer(), () -> {});
    copiesForPeers.put(finish.requestId(), new EndedRun(finish, outcome, timers.nowMs()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  /** Posts a bill and records it, so that the owner of the key can be notified. */
  private void post(
      EndedRun ended, BiFunction<AllotmentId, LedgerEntry, CompletableFuture<Void>> ledger) {
    Bill bill = ended.finish().bill().orElseThrow();
    CompletableFuture<?>[] parts =
        bill.parts().stream()
            .map(
                part ->
                    ledger.apply(
                        part.allotment(),
                        new LedgerEntry(bill.requestId(), bill.key().toString(), part.tokens())))
            .toArray(CompletableFuture[]::new);
    var unused = CompletableFuture.allOf(parts).thenAccept(nothing -> posted.add(ended));
  }

  private void tick() {
    unconfirmed.values().forEach(this::confirm);
    Membership view = members.read();
    copiesForPeers.values().stream()
        .filter(ended -> view.find(ended.finish().runner()).isEmpty())
        .forEach(this::confirm);
    copiesForPeers.values().removeIf(ended -> timers.nowMs() - ended.atMs() > decisionMs);
    ranges.orphaned().forEach(this::billForLostRunner);
    notifyPosted();
  }

  private void billForLostRunner(FinishRequest finish) {
    post(new EndedRun(finish, RunOutcome.failed(false), timers.nowMs()), bills::recover);
  }

  /**
   * Notifies the owners of keys and the holders of copies of the bills that have been written to
   * the ledger.
   */
  private void notifyPosted() {
    List<EndedRun> billed = new ArrayList<>();
    for (EndedRun ended = posted.poll(); ended != null; ended = posted.poll()) {
      billed.add(ended);
    }
    if (billed.isEmpty()) {
      return;
    }
    ranges.notifyPosted(billed.stream().map(ended -> ended.finish().key()).toList());
    billed.stream()
        .filter(ended -> ended.copyHolder().get() != null)
        .collect(
            Collectors.groupingBy(
                ended -> ended.copyHolder().get(),
                Collectors.mapping(ended -> ended.finish().key(), Collectors.toList())))
        .forEach(
            (copyHolder, keys) -> {
              var unused =
                  links
                      .request(copyHolder, new BillsPosted(keys), ASK_TIMEOUT_MS)
                      .exceptionally(error -> null);
            });
  }

  private CompletableFuture<PeerMessage> onBillsPosted(BillsPosted message) {
    ranges.markPosted(message.keys());
    Set<RequestKey> keys = Set.copyOf(message.keys());
    copiesForPeers.values().removeIf(ended -> keys.contains(ended.finish().key()));
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  /**
   * Returns the number of runs of which it is not yet decided whether they count.
   *
   * @return the number of runs whose bills wait
   */
  public int unconfirmedCount() {
    return unconfirmed.size();
  }
}
