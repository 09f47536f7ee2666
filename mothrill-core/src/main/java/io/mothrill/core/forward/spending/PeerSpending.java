package io.mothrill.core.forward.spending;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the rows of the other instances show about each team.
 *
 * <p>The rows are added up in one pass: a renewal looks at every team, and passing over all rows
 * for each of them would take most of its time in a large fleet.
 */
final class PeerSpending {

  private final Map<String, Totals> byTeam = new HashMap<>();
  private final int activeCount;

  /**
   * Sums over the other instances.
   *
   * @param spentTokens what those that renew their rows have spent by now
   * @param demandTokensPerS how fast those spend at their peaks
   * @param inactiveLimitTokens the limits of those that do not renew theirs
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
   * Adds up rows.
   *
   * @param active the rows of the others that renew them
   * @param inactive the rows of the others that do not
   * @param nowStoreMs now, by the store's clock
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

  private void add(String team, Totals sums) {
    byTeam.merge(team, sums, Totals::plus);
  }

  Totals of(String team) {
    return byTeam.getOrDefault(team, Totals.NONE);
  }

  int activeCount() {
    return activeCount;
  }
}
