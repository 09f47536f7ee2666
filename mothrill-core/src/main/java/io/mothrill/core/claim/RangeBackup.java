package io.mothrill.core.claim;

import io.mothrill.core.board.Section;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.CopySole;
import io.mothrill.core.peer.PeerMessage.FenceRange;
import io.mothrill.core.request.RequestKey;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Acknowledges claims for the owners of other ranges while the platform is away.
 *
 * <p>Failure: an owner is cut off and goes on granting after another has taken its range. Symptom:
 * a ticket is called twice. Once a range is fenced, this backup acknowledges nothing more of that
 * epoch; what it had acknowledged goes to the one who fenced it.
 */
final class RangeBackup {

  private final Section<Membership> members;
  private final Map<Integer, Long> fencedEpochs = new HashMap<>();
  private final Map<Integer, Copies> copies = new HashMap<>();

  RangeBackup(Section<Membership> members, PeerDispatcher dispatcher) {
    this.members = members;
    dispatcher.on(CopySole.class, this::onCopy);
    dispatcher.on(
        FenceRange.class,
        request ->
            isForThisIncarnation(request.backup())
                ? reply(new PeerMessage.FenceReply(fence(request.range(), request.epoch())))
                : reply(new PeerMessage.Refused("another incarnation is meant")));
  }

  private record Copies(long epoch, Map<RequestKey, SoleClaim> claims) {}

  private static CompletableFuture<PeerMessage> reply(PeerMessage message) {
    return CompletableFuture.completedFuture(message);
  }

  /** A replacement at the same address knows nothing of what its predecessor acknowledged. */
  private boolean isForThisIncarnation(String backup) {
    return members.read().self().incarnation().equals(backup);
  }

  private synchronized CompletableFuture<PeerMessage> onCopy(CopySole copy) {
    boolean fenced = fencedEpochs.getOrDefault(copy.range(), 0L) >= copy.epoch();
    if (fenced || !isForThisIncarnation(copy.backup())) {
      return reply(new PeerMessage.Refused("range is fenced"));
    }
    Copies held =
        copies.compute(
            copy.range(),
            (range, before) ->
                before == null || before.epoch() < copy.epoch()
                    ? new Copies(copy.epoch(), new LinkedHashMap<>())
                    : before);
    held.claims().put(copy.claim().key(), copy.claim());
    return reply(new PeerMessage.Done());
  }

  /** Refuses the owner of an epoch from now on, and gives what was acknowledged in it. */
  synchronized List<SoleClaim> fence(int range, long epoch) {
    fencedEpochs.merge(range, epoch, Math::max);
    Copies held = copies.get(range);
    return held == null ? List.of() : List.copyOf(held.claims().values());
  }
}
