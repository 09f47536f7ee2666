package io.mothrill.core.forward.spending;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the rows of the other instances show about each team.
 *
 * <p>All rows are totalled in a single pass: a renewal looks at every team, and iterating over all
 * rows for each team would take most of its time in a large fleet.
 */
final class PeerSpending {

  private final Map<String, Totals> byTeam = new HashMap<>();
  private final int activeCount;

  /**
   * Totals over the other instances for one team.
   *
   * @param spentTokens the tokens that active instances, which renew their rows, have spent by now
   * @param demandTokensPerS the peak rate at which active instances spend
   * @param inactiveLimitTokens the limits of instances that do not renew their rows
   */
  record Totals(long spentTokens, long demandTokensPerS, long inactiveLimitTokens) {
    private static final Totals NONE = new Totals(0, 0, 0);

    private Totals plus(Totals other) {
      return new Totals(
          spentTokens + other.spentTokens,
          demandTokensPerS + other.demandTokensPerS,
          inactiveLimitTokens + other.inactiveLimitTokens);
    }
  }

  /**
   * Totals the rows of the other instances.
   *
   * @param active the rows of instances that renew them
   * @param inactive the rows of instances that do not
   * @param nowStoreMs the current time, by the store's clock
   */
  PeerSpending(List<InstanceSpending> active, List<InstanceSpending> inactive, long nowStoreMs) {
    this.activeCount = active.size();
    active.forEach(row -> addActive(row, nowStoreMs - row.sentAtStoreMs()));
    inactive.forEach(this::addInactive);
  }

  private void addActive(InstanceSpending row, long ageMs) {
    row.grants()
        .forEach(
            (team, grant) ->
                add(
                    team,
                    new Totals(grant.expectedSpentAfterMs(ageMs), grant.demandTokensPerS(), 0)));
  }

  private void addInactive(InstanceSpending row) {
    row.grants().forEach((team, grant) -> add(team, new Totals(0, 0, grant.limitTokens())));
  }

  private void add(String team, Totals totals) {
    byTeam.merge(team, totals, Totals::plus);
  }

  Totals of(String team) {
    return byTeam.getOrDefault(team, Totals.NONE);
  }

  int activeCount() {
    return activeCount;
  }
}
