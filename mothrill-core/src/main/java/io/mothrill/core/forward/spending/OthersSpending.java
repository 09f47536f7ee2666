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
final class OthersSpending {

  private final Map<String, Sums> byTeam = new HashMap<>();
  private final int inTouchCount;

  /**
   * Sums over the other instances.
   *
   * @param spentTokens what those that renew their rows have spent by now
   * @param demandTokensPerS how fast those spend at their peaks
   * @param silentLimitTokens the limits of those that do not renew theirs
   */
  record Sums(long spentTokens, long demandTokensPerS, long silentLimitTokens) {
    private static final Sums NONE = new Sums(0, 0, 0);

    private Sums plus(Sums other) {
      return new Sums(
          spentTokens + other.spentTokens,
          demandTokensPerS + other.demandTokensPerS,
          silentLimitTokens + other.silentLimitTokens);
    }
  }

  /**
   * Adds up rows.
   *
   * @param inTouch the rows of the others that renew them
   * @param silent the rows of the others that do not
   * @param nowStoreMs now, by the store's clock
   */
  OthersSpending(List<InstanceSpending> inTouch, List<InstanceSpending> silent, long nowStoreMs) {
    this.inTouchCount = inTouch.size();
    inTouch.forEach(row -> addInTouch(row, nowStoreMs - row.sentAtStoreMs()));
    silent.forEach(this::addSilent);
  }

  private void addInTouch(InstanceSpending row, long ageMs) {
    row.grants()
        .forEach(
            (team, grant) ->
                add(
                    team,
                    new Sums(grant.expectedSpentAfterMs(ageMs), grant.demandTokensPerS(), 0)));
  }

  private void addSilent(InstanceSpending row) {
    row.grants().forEach((team, grant) -> add(team, new Sums(0, 0, grant.limitTokens())));
  }

  private void add(String team, Sums sums) {
    byTeam.merge(team, sums, Sums::plus);
  }

  Sums of(String team) {
    return byTeam.getOrDefault(team, Sums.NONE);
  }

  int inTouchCount() {
    return inTouchCount;
  }
}
