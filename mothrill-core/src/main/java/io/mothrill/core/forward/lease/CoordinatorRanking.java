package io.mothrill.core.forward.lease;

import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Ranks the instances that may coordinate an upstream, in an order that all instances derive alike.
 * Those in its own failure domain come first, because a partition leaves them connected to it.
 */
final class CoordinatorRanking {

  private static final long RETENTION_MS = 500;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final Timers timers;
  private final Map<String, Ranked> rankedByIncarnation = new ConcurrentHashMap<>();

  private record Ranked(List<InstanceRecord> candidates, long calculatedMs) {}

  CoordinatorRanking(InstanceRecord self, FleetView fleet, Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.timers = timers;
  }

  /** Returns the coordinator and, if there is one, its substitute. */
  List<InstanceRecord> candidates(RegisteredUpstream upstream) {
    long nowMs = timers.nowMs();
    return rankedByIncarnation
        .compute(
            upstream.incarnation(),
            (incarnation, known) ->
                known == null || nowMs - known.calculatedMs() >= RETENTION_MS
                    ? new Ranked(rank(upstream), nowMs)
                    : known)
        .candidates();
  }

  private List<InstanceRecord> rank(RegisteredUpstream upstream) {
    Predicate<InstanceRecord> isSameDomain =
        instance -> instance.domain().equals(upstream.domain());
    return Stream.of(isSameDomain, isSameDomain.negate())
        .flatMap(
            group ->
                RendezvousHash.rank(upstream.incarnation(), all().filter(group).toList()).stream())
        .limit(2)
        .toList();
  }

  private Stream<InstanceRecord> all() {
    return Stream.concat(Stream.of(self), fleet.others().stream());
  }

  void retain(Predicate<String> isListed) {
    rankedByIncarnation.keySet().removeIf(isListed.negate());
  }
}
