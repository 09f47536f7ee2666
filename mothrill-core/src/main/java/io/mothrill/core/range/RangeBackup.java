package io.mothrill.core.range;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.CopyRange;
import io.mothrill.core.peer.PeerMessage.FenceRange;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.time.Timers;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Acknowledges decisions for the owners of other ranges.
 *
 * <p>An owner that is partitioned could continue to decide after another instance has acquired its
 * range, and an unrepeatable request would run twice or a key would be billed twice. Once a range
 * is fenced, this backup acknowledges no more decisions of that epoch, and everything that it had
 * acknowledged is passed to the instance that fenced it.
 */
final class RangeBackup {

  private final PublishedValue<Membership> members;
  private final Timers timers;
  private final long retentionMs;
  private final Map<String, Replica> replicas = new HashMap<>();

  RangeBackup(
      PublishedValue<Membership> members,
      PeerDispatcher dispatcher,
      Timers timers,
      long retentionMs) {
    this.members = members;
    this.timers = timers;
    this.retentionMs = retentionMs;
    dispatcher.on(CopyRange.class, this::onCopy);
    dispatcher.on(FenceRange.class, this::onFence);
  }

  private static final class Replica {
    private final Map<RequestKey, Timestamped<SoleClaim>> claims = new LinkedHashMap<>();
    private final Map<RequestKey, Timestamped<FinishRequest>> runs = new LinkedHashMap<>();
    private long fencedEpoch;

    RangeContent content() {
      return new RangeContent(
          claims.values().stream().map(Timestamped::value).toList(),
          runs.values().stream().map(Timestamped::value).toList());
    }
  }

  private record Timestamped<T>(T value, long atMs) {}

  private static CompletableFuture<PeerMessage> reply(PeerMessage message) {
    return CompletableFuture.completedFuture(message);
  }

  /**
   * Checks whether a message is for this incarnation. A replacement at the same address does not
   * know what its predecessor acknowledged.
   */
  private boolean isForThisIncarnation(String backup) {
    return members.read().self().incarnation().equals(backup);
  }

  private synchronized CompletableFuture<PeerMessage> onCopy(CopyRange copy) {
    Replica replica = replicas.computeIfAbsent(copy.range(), range -> new Replica());
    if (replica.fencedEpoch >= copy.epoch() || !isForThisIncarnation(copy.backup())) {
      return reply(new PeerMessage.Refused("range is fenced"));
    }
    store(copy.range(), copy.content());
    return reply(new PeerMessage.Done());
  }

  /** Stores decisions, either as a backup or as an owner that has lost its range. */
  synchronized void store(String range, RangeContent content) {
    Replica replica = replicas.computeIfAbsent(range, name -> new Replica());
    long nowMs = timers.nowMs();
    content
        .claims()
        .forEach(claim -> replica.claims.putIfAbsent(claim.key(), new Timestamped<>(claim, nowMs)));
    content
        .runs()
        .forEach(run -> replica.runs.putIfAbsent(run.key(), new Timestamped<>(run, nowMs)));
  }

  synchronized RangeContent contentOf(String range) {
    return replicas.getOrDefault(range, new Replica()).content();
  }

  private CompletableFuture<PeerMessage> onFence(FenceRange request) {
    return isForThisIncarnation(request.backup())
        ? reply(new PeerMessage.FenceReply(fence(request.range(), request.epoch()).trimmed()))
        : reply(new PeerMessage.Refused("another incarnation is meant"));
  }

  /**
   * Fences the owner of an epoch, so that its decisions are refused, and returns what was
   * acknowledged.
   */
  synchronized RangeContent fence(String range, long epoch) {
    Replica replica = replicas.computeIfAbsent(range, name -> new Replica());
    replica.fencedEpoch = Math.max(replica.fencedEpoch, epoch);
    return replica.content();
  }

  synchronized void evictExpired() {
    long oldestMs = timers.nowMs() - retentionMs;
    replicas
        .values()
        .forEach(
            replica -> {
              replica.claims.values().removeIf(entry -> entry.atMs() < oldestMs);
              replica.runs.values().removeIf(entry -> entry.atMs() < oldestMs);
            });
  }
}
