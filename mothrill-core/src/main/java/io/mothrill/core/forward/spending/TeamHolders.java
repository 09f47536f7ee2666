package io.mothrill.core.forward.spending;

import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The holders of each team: the instance of each failure domain that has immediate tokens of the
 * team; immutable.
 *
 * <p>If each instance kept immediate tokens for a request of every team, in case the next request
 * reaches it, a power loss of all instances would lose that much for every pair of team and
 * instance: with eight instances and ten teams up to a tenth of all budgets, and with sixty-four
 * instances no share is as large as a request. One holder in each domain is enough: the other
 * instances borrow from it for each request, which takes one message each way within the domain,
 * and a partitioned domain has a holder of its own.
 *
 * <p>All instances that know the same instances compute the same holders, so no agreement protocol
 * is needed.
 */
final class TeamHolders {

  private final InstanceRecord self;
  private final Map<String, List<InstanceRecord>> byDomain;
  private final Map<String, List<InstanceRecord>> rankedByTeam = new ConcurrentHashMap<>();
  private final Map<String, List<InstanceRecord>> holdersByTeam = new ConcurrentHashMap<>();

  /**
   * Computes the holders.
   *
   * @param self this instance
   * @param peers the other instances that renew their rows
   */
  TeamHolders(InstanceRecord self, List<InstanceRecord> peers) {
    this.self = self;
    this.byDomain =
        Stream.concat(Stream.of(self), peers.stream())
            .collect(Collectors.groupingBy(InstanceRecord::domain));
  }

  private List<InstanceRecord> rankedFor(String team) {
    return rankedByTeam.computeIfAbsent(
        team, name -> RendezvousHash.rank(name, byDomain.get(self.domain())));
  }

  /** Checks whether this instance is a team's holder for its domain. */
  boolean isHeldBySelf(String team) {
    return rankedFor(team).get(0).id().equals(self.id());
  }

  /** Returns the ids of a team's holders, one in each domain. */
  Set<String> holderIds(String team) {
    return holdersOf(team).stream().map(InstanceRecord::id).collect(Collectors.toSet());
  }

  private List<InstanceRecord> holdersOf(String team) {
    return holdersByTeam.computeIfAbsent(
        team,
        name ->
            byDomain.values().stream()
                .map(instances -> RendezvousHash.rank(name, instances).get(0))
                .toList());
  }

  /**
   * Returns the other holders of a team: the one of this domain first, then the others in an order
   * that differs between instances, so that not all instances start with the same one.
   *
   * <p>A long prompt may cost more than the immediate tokens of each holder. Asking several holders
   * avoids a wait for the table when they have several times as many together.
   */
  List<InstanceRecord> otherHolders(String team) {
    return RendezvousHash.rank(self.id(), holdersOf(team)).stream()
        .filter(holder -> !holder.id().equals(self.id()))
        .sorted(Comparator.comparing(holder -> holder.domain().equals(self.domain()) ? 0 : 1))
        .toList();
  }

  /** Returns the number of holders of each team, one in each domain. */
  int holderCount() {
    return byDomain.size();
  }
}
