package io.mothrill.core.range;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.FinishReply;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.peer.PeerMessage.SoleReply;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.request.GeneratedKey;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.UnrepeatableClaims;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Sends requests about a key to the owner of its range, which may be any instance.
 *
 * <p>The instances are asked in the rank order of the range. The first one is the owner unless the
 * fleet has just changed. An instance that is asked and finds the owner unreachable acquires the
 * range.
 */
public final class RangeCoordinator implements UnrepeatableClaims {

  private static final long ASK_TIMEOUT_MS = 1_500;
  private static final long MAINTENANCE_INTERVAL_MS = 2_000;
  private static final int MAX_ASKED = 8;

  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final RangeBackup backup;
  private final RangeOwner owner;
  private final RangeRetention retention;
  private final RunRegistry generatedKeyRuns;
  private volatile long answerRetentionMs;

  /**
   * Creates the coordinator and starts its periodic maintenance.
   *
   * @param table the platform's table
   * @param lease the lease under which ranges are owned
   * @param members the current membership
   * @param links sends requests to peers
   * @param dispatcher where the handlers of peer requests are registered
   * @param timers the clock and timer service
   * @param retention the retention of decisions and answers
   */
  public RangeCoordinator(
      TableService table,
      Lease lease,
      PublishedValue<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      RangeRetention retention) {
    this.members = members;
    this.links = links;
    this.retention = retention;
    this.answerRetentionMs = retention.answerMs();
    this.generatedKeyRuns = new RunRegistry(members, timers);
    this.backup = new RangeBackup(members, dispatcher, timers, retention.decisionMs());
    RangeAcquirer acquirer = new RangeAcquirer(table, lease, members, links, timers, backup);
    this.owner = new RangeOwner(table, lease, members, links, timers, acquirer, backup);
    dispatcher.on(
        ClaimRequest.class, request -> claimRunLocally(request).thenApply(reply -> reply));
    dispatcher.on(
        FinishRequest.class, request -> finishLocally(request).thenApply(FinishReply::new));
    dispatcher.on(
        PeerMessage.SoleRequest.class,
        request -> claimSoleLocally(request.claim()).thenApply(SoleReply::new));
    dispatcher.on(PeerMessage.SoleRelease.class, this::onRelease);
    timers.every(MAINTENANCE_INTERVAL_MS, this::maintain);
  }

  private void maintain() {
    owner.maintain();
    backup.evictExpired();
    adaptAnswerRetention();
    generatedKeyRuns.evictExpired(answerRetentionMs, retention.answerMs());
    owner
        .all()
        .forEach(
            range -> {
              range.runs().evictExpired(answerRetentionMs, retention.decisionMs());
              range.claims().evictExpired(retention.decisionMs());
            });
  }

  /**
   * Shortens the retention of answers while they exceed their size limit.
   *
   * <p>Large answers that arrive faster than their retention ends would otherwise exhaust the
   * memory of the instance. Only answers are evicted early; the decision which run of a key counts
   * is retained.
   */
  private void adaptAnswerRetention() {
    long keptBytes =
        generatedKeyRuns.answerBytes()
            + owner.all().stream().mapToLong(range -> range.runs().answerBytes()).sum();
    answerRetentionMs =
        keptBytes > retention.maxAnswerBytes()
            ? Math.max(MAINTENANCE_INTERVAL_MS, answerRetentionMs / 2)
            : Math.min(retention.answerMs(), answerRetentionMs * 2);
  }

  private List<InstanceRecord> candidates(RequestKey key) {
    Membership view = members.read();
    return KeyRanges.rank(KeyRanges.of(key), view).stream()
        .filter(view::isReachable)
        .limit(MAX_ASKED)
        .toList();
  }

  /** Asks the candidates one after another until one of them decides. */
  private <T> CompletableFuture<Optional<T>> askInOrder(
      List<InstanceRecord> candidates,
      Function<InstanceRecord, CompletableFuture<T>> ask,
      Predicate<T> decides) {
    if (candidates.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return ask.apply(candidates.get(0))
        .handle((reply, error) -> Optional.ofNullable(reply).filter(decides))
        .thenCompose(
            reply ->
                reply.isPresent()
                    ? CompletableFuture.completedFuture(reply)
                    : askInOrder(candidates.subList(1, candidates.size()), ask, decides));
  }

  /**
   * Requests permission to run a request.
   *
   * @param request the claim
   * @return the reply of the owner; empty when no owner can be reached
   */
  public CompletableFuture<Optional<ClaimReply>> claimRun(ClaimRequest request) {
    Optional<String> issuer = GeneratedKey.issuerOf(request.key());
    if (issuer.isPresent()) {
      return askIssuer(issuer.get(), request);
    }
    return askInOrder(
        candidates(request.key()),
        candidate ->
            members.read().isSelf(candidate)
                ? claimRunLocally(request)
                : links
                    .request(candidate, request, ASK_TIMEOUT_MS)
                    .thenApply(reply -> reply instanceof ClaimReply claimReply ? claimReply : null),
        reply -> reply.verdict() != ClaimReply.Verdict.NOT_OWNER);
  }

  /**
   * Asks the incarnation that generated the key, because no other instance knows the outcome of its
   * request.
   */
  private CompletableFuture<Optional<ClaimReply>> askIssuer(String issuer, ClaimRequest request) {
    ClaimReply unknown = new ClaimReply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "", Optional.empty());
    Membership view = members.read();
    if (view.self().incarnation().equals(issuer)) {
      return CompletableFuture.completedFuture(
          Optional.of(generatedKeyRuns.claimGenerated(request)));
    }
    return view.find(issuer)
        .map(candidate -> links.request(candidate, request, ASK_TIMEOUT_MS))
        .orElseGet(() -> CompletableFuture.completedFuture(unknown))
        .handle((reply, error) -> reply instanceof ClaimReply claimReply ? claimReply : unknown)
        .thenApply(Optional::of);
  }

  /**
   * Records a run whose key was generated here.
   *
   * @param claim the run
   */
  public void beginGenerated(ClaimRequest claim) {
    var unused = generatedKeyRuns.claim(claim);
  }

  /**
   * Records the end of a run whose key was generated here.
   *
   * @param finish the end of the run
   */
  public void endGenerated(FinishRequest finish) {
    if (finish.bill().isPresent()) {
      generatedKeyRuns.recordDecision(finish);
    } else {
      generatedKeyRuns.recordFailure(finish);
    }
  }

  private CompletableFuture<ClaimReply> claimRunLocally(ClaimRequest request) {
    if (GeneratedKey.issuerOf(request.key()).isPresent()) {
      return CompletableFuture.completedFuture(generatedKeyRuns.claimGenerated(request));
    }
    return owner
        .acquire(KeyRanges.of(request.key()))
        .thenApply(
            range ->
                range
                    .map(owned -> owned.runs().claim(request))
                    .orElse(new ClaimReply(ClaimReply.Verdict.NOT_OWNER, "", Optional.empty())));
  }

  /**
   * Requests a decision whether a run that has ended counts.
   *
   * @param request the end of the run
   * @return the verdict of the owner; {@code NOT_OWNER} when no owner can be reached
   */
  public CompletableFuture<FinishReply.Verdict> finish(FinishRequest request) {
    return askInOrder(
            candidates(request.key()),
            candidate ->
                members.read().isSelf(candidate)
                    ? finishLocally(request)
                    : links
                        .request(candidate, request, ASK_TIMEOUT_MS)
                        .thenApply(
                            reply ->
                                reply instanceof FinishReply finishReply
                                    ? finishReply.verdict()
                                    : null),
            verdict -> verdict != FinishReply.Verdict.NOT_OWNER)
        .thenApply(verdict -> verdict.orElse(FinishReply.Verdict.NOT_OWNER));
  }

  private CompletableFuture<FinishReply.Verdict> finishLocally(FinishRequest request) {
    return owner
        .acquire(KeyRanges.of(request.key()))
        .thenCompose(
            range ->
                range
                    .map(owned -> owner.finish(owned, request))
                    .orElse(CompletableFuture.completedFuture(FinishReply.Verdict.NOT_OWNER)));
  }

  @Override
  public CompletableFuture<Outcome> claim(RequestKey key, String requestId) {
    SoleClaim claim = new SoleClaim(key, requestId);
    return askInOrder(
            candidates(key),
            candidate ->
                members.read().isSelf(candidate)
                    ? claimSoleLocally(claim)
                    : links
                        .request(candidate, new PeerMessage.SoleRequest(claim), ASK_TIMEOUT_MS)
                        .thenApply(
                            reply ->
                                reply instanceof SoleReply soleReply ? soleReply.outcome() : null),
            outcome -> outcome != Outcome.UNSAFE)
        .thenApply(outcome -> outcome.orElse(Outcome.UNSAFE));
  }

  private CompletableFuture<Outcome> claimSoleLocally(SoleClaim claim) {
    return owner
        .acquire(KeyRanges.of(claim.key()))
        .thenCompose(
            range ->
                range
                    .map(owned -> owner.grant(owned, claim))
                    .orElse(CompletableFuture.completedFuture(Outcome.UNSAFE)));
  }

  @Override
  public void release(RequestKey key, String requestId) {
    SoleClaim claim = new SoleClaim(key, requestId);
    broadcast(key, new PeerMessage.SoleRelease(claim), () -> releaseLocally(claim));
  }

  private void broadcast(RequestKey key, PeerMessage message, Runnable localAction) {
    Membership view = members.read();
    candidates(key)
        .forEach(
            candidate -> {
              if (view.isSelf(candidate)) {
                localAction.run();
              } else {
                var unused =
                    links.request(candidate, message, ASK_TIMEOUT_MS).exceptionally(error -> null);
              }
            });
  }

  private CompletableFuture<PeerMessage> onRelease(PeerMessage.SoleRelease request) {
    releaseLocally(request.claim());
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  private void releaseLocally(SoleClaim claim) {
    owner.find(KeyRanges.of(claim.key())).ifPresent(owned -> owner.release(owned, claim));
  }

  /**
   * Notifies the owners of keys that bills have been written to the ledger.
   *
   * @param keys the keys of the runs that were billed
   */
  public void notifyPosted(List<RequestKey> keys) {
    Membership view = members.read();
    markPosted(keys);
    keys.stream()
        .filter(key -> GeneratedKey.issuerOf(key).isEmpty())
        .flatMap(key -> candidates(key).stream().limit(1))
        .distinct()
        .filter(candidate -> !view.isSelf(candidate))
        .forEach(
            candidate -> {
              List<RequestKey> ownedKeys =
                  keys.stream()
                      .filter(key -> GeneratedKey.issuerOf(key).isEmpty())
                      .filter(key -> candidates(key).get(0).equals(candidate))
                      .toList();
              var unused =
                  links
                      .request(candidate, new PeerMessage.BillsPosted(ownedKeys), ASK_TIMEOUT_MS)
                      .exceptionally(error -> null);
            });
  }

  /**
   * Records that bills of keys in ranges owned by this instance have been written to the ledger.
   *
   * @param keys the keys of the runs that were billed
   */
  public void markPosted(List<RequestKey> keys) {
    keys.forEach(this::markPostedLocally);
  }

  private void markPostedLocally(RequestKey key) {
    generatedKeyRuns.markPosted(key);
    owner.find(KeyRanges.of(key)).ifPresent(owned -> owned.runs().markPosted(key));
  }

  /**
   * Returns the runs in ranges owned by this instance whose runner has left the fleet and whose
   * bill may not be posted.
   *
   * @return the ends of those runs
   */
  public List<FinishRequest> orphaned() {
    return owner.all().stream().flatMap(range -> range.runs().orphanedRuns().stream()).toList();
  }

  /** Releases all ranges, so that other instances can acquire them. */
  public void releaseAll() {
    owner.maintain();
    owner.releaseAll();
  }
}
