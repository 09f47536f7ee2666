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
 * Which instance of each failure domain has tokens of a team ready; immutable.
 *
 * <p>Failure: each of some instances keeps a request's worth of each team's budget open, in case
 * the next request comes to it. Symptom: when all of them lose power, every pair of team and
 * instance loses that much: with eight instances and ten teams up to a tenth of all budgets, and
 * with sixty-four instances no piece is as large as a request. One holder in each domain is enough:
 * the others reserve from it for each request, which takes a message each way within the domain,
 * and a domain that is cut off has a holder of its own.
 *
 * <p>Everyone who knows the same instances names the same holders, so nothing has to be agreed.
 */
final class TeamHolders {

  private final InstanceRecord self;
  private final Map<String, List<InstanceRecord>> byDomain;
  private final Map<String, List<InstanceRecord>> rankedByTeam = new ConcurrentHashMap<>();
  private final Map<String, List<InstanceRecord>> holdersByTeam = new ConcurrentHashMap<>();

  /**
   * Works out the holders.
   *
   * @param self this instance
   * @param others the others that renew their rows
   */
  TeamHolders(InstanceRecord self, List<InstanceRecord> others) {
    this.self = self;
    this.byDomain =
        Stream.concat(Stream.of(self), others.stream())
            .collect(Collectors.groupingBy(InstanceRecord::domain));
  }

  private List<InstanceRecord> rankedFor(String team) {
    return rankedByTeam.computeIfAbsent(
        team, name -> RendezvousHash.rank(name, byDomain.get(self.domain())));
  }

  /** Says whether this instance holds a team's tokens for its domain. */
  boolean isHeldBySelf(String team) {
    return rankedFor(team).get(0).id().equals(self.id());
  }

  /** Lists the ids of a team's holders, one of each domain. */
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
   * Lists the other instances that hold a team's tokens: the one of this domain first, the others
   * in an order that each instance has for itself, so that not all begin with the same one.
   *
   * <p>Failure: what each holder has ready is less than a long prompt costs. Symptom: its request
   * waits for the table, though the holders together have several times as much ready.
   */
  List<InstanceRecord> otherHolders(String team) {
    return RendezvousHash.rank(self.id(), holdersOf(team)).stream()
        .filter(holder -> !holder.id().equals(self.id()))
        .sorted(Comparator.comparing(holder -> holder.domain().equals(self.domain()) ? 0 : 1))
        .toList();
  }

  /** Gives the number of holders of each team: one in each domain. */
  int holderCount() {
    return byDomain.size();
  }
}
