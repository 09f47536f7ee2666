package io.mothrill.core.claim;

import io.mothrill.core.board.Section;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.SoleReply;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.UnrepeatableClaims;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Claims unrepeatable requests at the owner of their key's range.
 *
 * <p>Any instance finds the owner by asking the instances in the range's rank order; the first that
 * answers owns the range, takes it over, or says that it may not be had now.
 */
public final class RangeClaims implements UnrepeatableClaims {

  private static final long ASK_TIMEOUT_MS = 2_000;
  private static final long TEND_MS = 2_000;

  private final RangeOwner owner;
  private final Section<Membership> members;
  private final PeerLinks links;

  /**
   * Creates the claims and starts their timers.
   *
   * @param table the platform's table
   * @param lease the lease that ranges are owned under
   * @param members the fleet
   * @param links the way to peers
   * @param dispatcher where requests from peers are served
   * @param timers the time
   * @param windowMs how long a claim is remembered
   */
  public RangeClaims(
      TableService table,
      Lease lease,
      Section<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      long windowMs) {
    this.members = members;
    this.links = links;
    RangeBackup backup = new RangeBackup(members, dispatcher);
    this.owner = new RangeOwner(table, lease, members, links, timers, backup, windowMs);
    dispatcher.on(
        PeerMessage.SoleRequest.class,
        request -> claimHere(request.claim()).thenApply(outcome -> new SoleReply(outcome)));
    dispatcher.on(PeerMessage.SoleRelease.class, this::onRelease);
    timers.every(TEND_MS, owner::tend);
  }

  @Override
  public CompletableFuture<Outcome> claim(RequestKey key, String requestId) {
    SoleClaim claim = new SoleClaim(key, requestId);
    return claimAt(claim, candidates(key), 0);
  }

  /** Ranks whom to ask; whoever does not answer heartbeats is passed over. */
  private List<InstanceRecord> candidates(RequestKey key) {
    Membership view = members.read();
    return KeyRanges.rank(KeyRanges.of(key), view).stream().filter(view::isReachable).toList();
  }

  private CompletableFuture<Outcome> claimAt(
      SoleClaim claim, List<InstanceRecord> candidates, int index) {
    if (index == candidates.size()) {
      return CompletableFuture.completedFuture(Outcome.UNSAFE);
    }
    InstanceRecord candidate = candidates.get(index);
    CompletableFuture<Outcome> outcome =
        members.read().isSelf(candidate)
            ? claimHere(claim)
            : links
                .ask(candidate, new PeerMessage.SoleRequest(claim), ASK_TIMEOUT_MS)
                .handle(
                    (reply, error) ->
                        reply instanceof SoleReply told ? told.outcome() : Outcome.UNSAFE);
    return outcome.thenCompose(
        told ->
            told == Outcome.UNSAFE
                ? claimAt(claim, candidates, index + 1)
                : CompletableFuture.completedFuture(told));
  }

  private CompletableFuture<Outcome> claimHere(SoleClaim claim) {
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
    Membership view = members.read();
    candidates(key)
        .forEach(
            candidate -> {
              if (view.isSelf(candidate)) {
                releaseHere(claim);
              } else {
                var unused =
                    links
                        .ask(candidate, new PeerMessage.SoleRelease(claim), ASK_TIMEOUT_MS)
                        .exceptionally(error -> null);
              }
            });
  }

  private CompletableFuture<PeerMessage> onRelease(PeerMessage.SoleRelease request) {
    releaseHere(request.claim());
    return CompletableFuture.completedFuture(new PeerMessage.Done());
  }

  private void releaseHere(SoleClaim claim) {
    Optional<OwnedRange> range = owner.owned(KeyRanges.of(claim.key()));
    range.ifPresent(owned -> owner.release(owned, claim));
  }

  /** Leaves all ranges to whoever needs them next. */
  public void leave() {
    owner.tend();
    owner.leave();
  }
}
