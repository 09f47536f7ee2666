package io.mothrill.core.range;

import io.mothrill.core.board.Section;
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
import io.mothrill.core.request.MintedKey;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.UnrepeatableClaims;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Asks the owner of a key's range, wherever that is.
 *
 * <p>The instances are asked in the range's rank order. The first is the owner unless the fleet has
 * just changed; one that is asked and finds the owner gone takes the range over.
 */
public final class RangeAuthority implements UnrepeatableClaims {

  private static final long ASK_TIMEOUT_MS = 1_500;
  private static final long TEND_MS = 2_000;
  private static final int MAX_ASKED = 8;

  private final Section<Membership> members;
  private final PeerLinks links;
  private final RangeBackup backup;
  private final RangeOwner owner;
  private final RangeWindows windows;
  private final RunBook minted;
  private volatile long answerMs;

  /**
   * Creates the authority and starts its timers.
   *
   * @param table the platform's table
   * @param lease the lease that ranges are owned under
   * @param members the fleet
   * @param links the way to peers
   * @param dispatcher where requests from peers are served
   * @param timers the time
   * @param windows how long decisions are remembered
   */
  public RangeAuthority(
      TableService table,
      Lease lease,
      Section<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      RangeWindows windows) {
    this.members = members;
    this.links = links;
    this.windows = windows;
    this.answerMs = windows.answerMs();
    this.minted = new RunBook(members, timers);
    this.backup = new RangeBackup(members, dispatcher, timers, windows.decisionMs());
    RangeTaker taker = new RangeTaker(table, lease, members, links, timers, backup);
    this.owner = new RangeOwner(table, lease, members, links, timers, taker, backup);
    dispatcher.on(ClaimRequest.class, request -> claimHere(request).thenApply(reply -> reply));
    dispatcher.on(FinishRequest.class, request -> finishHere(request).thenApply(FinishReply::new));
    dispatcher.on(
        PeerMessage.SoleRequest.class,
        request -> soleHere(request.claim()).thenApply(SoleReply::new));
    dispatcher.on(PeerMessage.SoleRelease.class, this::onRelease);
    timers.every(TEND_MS, this::tend);
  }

  private void tend() {
    owner.tend();
    backup.forgetOld();
    adaptAnswerWindow();
    minted.forgetOld(answerMs, windows.answerMs());
    owner
        .all()
        .forEach(
            range -> {
              range.runs().forgetOld(answerMs, windows.decisionMs());
              range.claims().forgetOld(windows.decisionMs());
            });
  }

  /**
   * Keeps answers for a shorter time while there are too many of them.
   *
   * <p>Failure: large answers come faster than their window ends. Symptom: the instance runs out of
   * memory. Only answers go early; which run of a key counts is remembered all the same.
   */
  private void adaptAnswerWindow() {
    long keptBytes =
        minted.answerBytes()
            + owner.all().stream().mapToLong(range -> range.runs().answerBytes()).sum();
    answerMs =
        keptBytes > windows.maxAnswerBytes()
            ? Math.max(TEND_MS, answerMs / 2)
            : Math.min(windows.answerMs(), answerMs * 2);
  }

  private List<InstanceRecord> candidates(RequestKey key) {
    Membership view = members.read();
    return KeyRanges.rank(KeyRanges.of(key), view).stream()
        .filter(view::isReachable)
        .limit(MAX_ASKED)
        .toList();
  }

  /** Asks one candidate after the other until one of them decides. */
  private <T> CompletableFuture<Optional<T>> walk(
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
                    : walk(candidates.subList(1, candidates.size()), ask, decides));
  }

  /**
   * Asks whether a request may run.
   *
   * @param request the claim
   * @return the owner's answer; empty when no owner can be reached
   */
  public CompletableFuture<Optional<ClaimReply>> mayRun(ClaimRequest request) {
    Optional<String> minter = MintedKey.minterOf(request.key());
    if (minter.isPresent()) {
      return askMinter(minter.get(), request);
    }
    return walk(
        candidates(request.key()),
        at ->
            members.read().isSelf(at)
                ? claimHere(request)
                : links
                    .ask(at, request, ASK_TIMEOUT_MS)
                    .thenApply(reply -> reply instanceof ClaimReply told ? told : null),
        reply -> reply.verdict() != ClaimReply.Verdict.NOT_OWNER);
  }

  /** Only the incarnation that made a key knows what became of its request. */
  private CompletableFuture<Optional<ClaimReply>> askMinter(String minter, ClaimRequest request) {
    ClaimReply unknown = new ClaimReply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "", Optional.empty());
    Membership view = members.read();
    if (view.self().incarnation().equals(minter)) {
      return CompletableFuture.completedFuture(Optional.of(minted.claimAgain(request)));
    }
    return view.find(minter)
        .map(at -> links.ask(at, request, ASK_TIMEOUT_MS))
        .orElseGet(() -> CompletableFuture.completedFuture(unknown))
        .handle((reply, error) -> reply instanceof ClaimReply told ? told : unknown)
        .thenApply(Optional::of);
  }

  /**
   * Notes a run whose key was minted here.
   *
   * @param claim the run
   */
  public void beginMinted(ClaimRequest claim) {
    var unused = minted.claim(claim);
  }

  /**
   * Notes the end of a run whose key was minted here.
   *
   * @param finish the end of the run
   */
  public void endMinted(FinishRequest finish) {
    if (finish.bill().isPresent()) {
      minted.decided(finish);
    } else {
      minted.failed(finish);
    }
  }

  private CompletableFuture<ClaimReply> claimHere(ClaimRequest request) {
    if (MintedKey.minterOf(request.key()).isPresent()) {
      return CompletableFuture.completedFuture(minted.claimAgain(request));
    }
    return owner
        .range(KeyRanges.of(request.key()))
        .thenApply(
            range ->
                range
                    .map(owned -> owned.runs().claim(request))
                    .orElse(new ClaimReply(ClaimReply.Verdict.NOT_OWNER, "", Optional.empty())));
  }

  /**
   * Asks whether a run that has ended counts.
   *
   * @param request the end of the run
   * @return the owner's answer; held when no owner can be reached
   */
  public CompletableFuture<FinishReply.Verdict> finish(FinishRequest request) {
    return walk(
            candidates(request.key()),
            at ->
                members.read().isSelf(at)
                    ? finishHere(request)
                    : links
                        .ask(at, request, ASK_TIMEOUT_MS)
                        .thenApply(
                            reply -> reply instanceof FinishReply told ? told.verdict() : null),
            verdict -> verdict != FinishReply.Verdict.NOT_OWNER)
        .thenApply(verdict -> verdict.orElse(FinishReply.Verdict.NOT_OWNER));
  }

  private CompletableFuture<FinishReply.Verdict> finishHere(FinishRequest request) {
    return owner
        .range(KeyRanges.of(request.key()))
        .thenCompose(
            range ->
                range
                    .map(owned -> owner.finish(owned, request))
                    .orElse(CompletableFuture.completedFuture(FinishReply.Verdict.NOT_OWNER)));
  }

  @Override
  public CompletableFuture<Outcome> claim(RequestKey key, String requestId) {
    SoleClaim claim = new SoleClaim(key, requestId);
    return walk(
            candidates(key),
            at ->
                members.read().isSelf(at)
                    ? soleHere(claim)
                    : links
                        .ask(at, new PeerMessage.SoleRequest(claim), ASK_TIMEOUT_MS)
                        .thenApply(
                            reply -> reply instanceof SoleReply told ? told.outcome() : null),
            outcome -> outcome != Outcome.UNSAFE)
        .thenApply(outcome -> outcome.orElse(Outcome.UNSAFE));
  }

  private CompletableFuture<Outcome> soleHere(SoleClaim claim) {
    return owner
        .range(KeyRanges.of(claim.key()))
        .thenCompose(
            range ->
                range
                    .map(owned -> owner.grant(owned, claim))
                    .orElse(CompletableFuture.completedFuture(Outcome.UNSAFE)));
  }

  @Override
  public void release(RequestKey key, String requestId) {
    SoleClaim claim = new SoleClaim(key, requestId);
    tell(key, new PeerMessage.SoleRelease(claim), () -> releaseHere(claim));
  }

  private void tell(RequestKey key, PeerMessage message, Runnable here) {
    Membership view = members.read();
    candidates(key)
        .forEach(
            at -> {
              if (view.isSelf(at)) {
                here.run();
              } else {
                var unused = links.ask(at, message, ASK_TIMEOUT_MS).exceptionally(error -> null);
              }
            });
  }

  private CompletableFuture<PeerMessage> onRelease(PeerMessage.SoleRelease request) {
    releaseHere(request.claim());
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  private void releaseHere(SoleClaim claim) {
    owner.owned(KeyRanges.of(claim.key())).ifPresent(owned -> owner.release(owned, claim));
  }

  /**
   * Tells the owners of keys that bills are in the ledger.
   *
   * @param keys the keys of the runs that were billed
   */
  public void posted(List<RequestKey> keys) {
    Membership view = members.read();
    notePosted(keys);
    keys.stream()
        .filter(key -> MintedKey.minterOf(key).isEmpty())
        .flatMap(key -> candidates(key).stream().limit(1))
        .distinct()
        .filter(at -> !view.isSelf(at))
        .forEach(
            at -> {
              List<RequestKey> its =
                  keys.stream()
                      .filter(key -> MintedKey.minterOf(key).isEmpty())
                      .filter(key -> candidates(key).get(0).equals(at))
                      .toList();
              var unused =
                  links
                      .ask(at, new PeerMessage.BillsPosted(its), ASK_TIMEOUT_MS)
                      .exceptionally(error -> null);
            });
  }

  /**
   * Notes that bills of keys in ranges owned here are in the ledger.
   *
   * @param keys the keys of the runs that were billed
   */
  public void notePosted(List<RequestKey> keys) {
    keys.forEach(this::postedHere);
  }

  private void postedHere(RequestKey key) {
    minted.posted(key);
    owner.owned(KeyRanges.of(key)).ifPresent(owned -> owned.runs().posted(key));
  }

  /**
   * Lists runs in the ranges owned here whose runner is gone and whose bill may not be posted.
   *
   * @return the ends of those runs
   */
  public List<FinishRequest> orphaned() {
    return owner.all().stream().flatMap(range -> range.runs().orphaned().stream()).toList();
  }

  /** Leaves all ranges to whoever needs them next. */
  public void leave() {
    owner.tend();
    owner.leave();
  }
}
