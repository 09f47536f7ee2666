package io.mothrill.core.peer;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.Change;
import io.mothrill.core.config.ConfigController;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.PeerMessage.ChangesReply;
import io.mothrill.core.peer.PeerMessage.ChangesRequest;
import io.mothrill.core.peer.PeerMessage.Heartbeat;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Maintains the membership view from the platform's instance list and from heartbeats.
 *
 * <p>The list determines which instances belong to the fleet; heartbeats determine which are
 * reachable. Each round sends heartbeats to at most {@link #FAN_OUT} peers, so its cost does not
 * grow with the fleet.
 */
public final class MembershipController {

  /** The number of peers to which one round of heartbeats is sent. */
  public static final int FAN_OUT = 8;

  private static final int MISSED_ROUNDS = 4;
  private static final int LIST_EVERY_ROUNDS = 2;
  private static final long SECOND_MS = 1_000;

  private final PublishedValue<Membership> membership;
  private final PublishedValue<ConfigSnapshot> config;
  private final ConfigController configController;
  private final InstanceList list;
  private final PeerLinks links;
  private final Timers timers;
  private final Random random;
  private final FleetPacing pacing;
  private final Map<String, Long> lastHeardMs = new ConcurrentHashMap<>();
  private final Map<String, Long> peerRevisions = new ConcurrentHashMap<>();
  private long round;

  /**
   * Creates the controller and starts its periodic rounds.
   *
   * @param membership the published value of the membership
   * @param config the current configuration of this instance
   * @param configController fetches configuration changes from peers that have a newer revision
   * @param list the platform's instance list
   * @param links sends requests to peers
   * @param dispatcher where the handlers of heartbeats are registered
   * @param timers the clock and timer service
   * @param random selects the peers of a round
   */
  public MembershipController(
      PublishedValue<Membership> membership,
      PublishedValue<ConfigSnapshot> config,
      ConfigController configController,
      InstanceList list,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      Random random) {
    this.membership = membership;
    this.config = config;
    this.configController = configController;
    this.list = list;
    this.links = links;
    this.timers = timers;
    this.random = random;
    this.pacing = new FleetPacing(membership, random);
    dispatcher.on(Heartbeat.class, this::onHeartbeat);
    dispatcher.on(ChangesRequest.class, this::onChangesRequest);
    timers.every(SECOND_MS, this::runRound);
    timers.after(0, this::runRound);
  }

  private void runRound() {
    if (round++ % LIST_EVERY_ROUNDS == 0) {
      pollList();
    }
    List<InstanceRecord> others = new ArrayList<>(membership.read().others());
    Collections.shuffle(others, random);
    others.stream().limit(FAN_OUT).forEach(this::sendHeartbeat);
    refreshReachable();
  }

  /**
   * Announces this instance, and reads the instance list. In a large fleet only some instances read
   * the whole list each time, but every instance is announced.
   */
  private void pollList() {
    if (pacing.isTurn()) {
      readList();
    } else {
      var unused = list.announce(membership.read().self()).exceptionally(error -> null);
    }
  }

  private void readList() {
    var unused =
        list.announce(membership.read().self())
            .thenCompose(nothing -> list.list())
            .whenComplete(
                (records, error) -> {
                  if (error == null) {
                    applyList(records);
                  } else {
                    Logger.debug("failed to read the instance list: {}", error.getMessage());
                  }
                });
  }

  private void applyList(List<InstanceRecord> records) {
    membership.update(view -> mergeList(view, records));
  }

  /**
   * Applies the list, and retains reachable instances that it does not contain.
   *
   * <p>After an outage the list may be read before all instances have announced themselves again.
   * Without this, a live instance would be considered as gone, and others would take over what it
   * still holds.
   */
  private static Membership mergeList(Membership view, List<InstanceRecord> records) {
    Set<String> listed = records.stream().map(InstanceRecord::id).collect(Collectors.toSet());
    Stream<InstanceRecord> unlisted =
        view.reachableOthers().stream().filter(peer -> !listed.contains(peer.id()));
    List<InstanceRecord> others =
        Stream.concat(records.stream(), unlisted)
            .filter(record -> !record.id().equals(view.self().id()))
            .toList();
    return new Membership(view.self(), others, view.reachable());
  }

  private void sendHeartbeat(InstanceRecord peer) {
    var unused =
        links
            .request(peer, ownHeartbeat(), SECOND_MS)
            .thenAccept(
                reply -> {
                  if (reply instanceof Heartbeat heartbeat) {
                    recordHeartbeat(heartbeat);
                  }
                })
            .exceptionally(error -> handleFailure(peer, error));
  }

  /**
   * Marks a peer as unreachable at once when its process has ended, instead of waiting for missed
   * heartbeats.
   */
  private Void handleFailure(InstanceRecord peer, Throwable error) {
    boolean gone = Failures.unwrap(error) instanceof PeerException known && known.isGone();
    if (gone) {
      lastHeardMs.remove(peer.incarnation());
      refreshReachable();
    }
    return null;
  }

  private Heartbeat ownHeartbeat() {
    return new Heartbeat(membership.read().self(), config.read().revision());
  }

  private CompletableFuture<PeerMessage> onHeartbeat(Heartbeat heartbeat) {
    recordHeartbeat(heartbeat);
    return CompletableFuture.completedFuture(ownHeartbeat());
  }

  private void recordHeartbeat(Heartbeat heartbeat) {
    InstanceRecord peer = heartbeat.self();
    lastHeardMs.put(peer.incarnation(), timers.nowMs());
    peerRevisions.put(peer.incarnation(), heartbeat.configRevision());
    membership.update(view -> mergePeer(view, peer));
    if (heartbeat.configRevision() > config.read().revision()) {
      configController.catchUp((revision, limit) -> changesOf(peer, revision, limit));
    }
  }

  /**
   * Applies a peer's record of itself, which is newer than its record in the platform's list,
   * because the list lags.
   */
  private static Membership mergePeer(Membership view, InstanceRecord peer) {
    if (view.isReachable(peer) && view.others().contains(peer)) {
      return view;
    }
    Map<String, InstanceRecord> byId =
        view.others().stream()
            .collect(Collectors.toMap(InstanceRecord::id, Function.identity(), (one, two) -> two));
    byId.put(peer.id(), peer);
    Set<String> reachable =
        Stream.concat(view.reachable().stream(), Stream.of(peer.incarnation()))
            .collect(Collectors.toSet());
    return new Membership(view.self(), List.copyOf(byId.values()), reachable);
  }

  private CompletableFuture<List<Change>> changesOf(InstanceRecord peer, long after, int limit) {
    return links
        .request(peer, new ChangesRequest(after, limit), SECOND_MS)
        .thenApply(reply -> reply instanceof ChangesReply changes ? changes.changes() : List.of());
  }

  private CompletableFuture<PeerMessage> onChangesRequest(ChangesRequest request) {
    return CompletableFuture.completedFuture(
        new ChangesReply(configController.recentAfter(request.afterRevision(), request.limit())));
  }

  private void refreshReachable() {
    int knownPeers = Math.max(1, membership.read().others().size());
    long roundsPerPeer = 1L + (knownPeers - 1) / FAN_OUT;
    long oldestMs = timers.nowMs() - SECOND_MS * MISSED_ROUNDS * roundsPerPeer;
    lastHeardMs.values().removeIf(lastHeard -> lastHeard < oldestMs);
    peerRevisions.keySet().retainAll(lastHeardMs.keySet());
    membership.update(
        view ->
            view.reachable().equals(lastHeardMs.keySet())
                ? view
                : new Membership(view.self(), view.others(), Set.copyOf(lastHeardMs.keySet())));
  }

  /**
   * Marks this instance as leaving and notifies the platform and the reachable peers immediately.
   */
  public void leave() {
    membership.update(
        view -> new Membership(view.self().asLeaving(), view.others(), view.reachable()));
    readList();
    membership.read().reachableOthers().forEach(this::sendHeartbeat);
  }

  /**
   * Returns the configuration revisions of other instances.
   *
   * @return the revision in use by incarnation, for instances that are reachable
   */
  public Map<String, Long> peerRevisions() {
    return Map.copyOf(peerRevisions);
  }
}
