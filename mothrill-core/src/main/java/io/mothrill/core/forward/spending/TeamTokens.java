package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.platform.RowKey;
import java.util.List;

/**
 * Where one team's tokens are by the rows that an instance has read.
 *
 * @param prepaidTokens all that the team may ever spend
 * @param unassignedTokens what no instance's limit covers; negative while too much is granted
 * @param peersHeldTokens what other instances' rows hold beyond what they have spent
 * @param peersImmediateTokens the part of it that was near when these rows were sent
 * @param rowsAgeMs how old the rows of the others are
 */
record TeamTokens(
    long prepaidTokens,
    long unassignedTokens,
    long peersHeldTokens,
    long peersImmediateTokens,
    long rowsAgeMs) {

  static TeamTokens of(
      SpendingTable.Snapshot contents, RowKey ownKey, TeamPlan team, long nowStoreMs) {
    long prepaidTokens = team.prepaidTokens().orElse(0);
    List<SpendingGrant> others =
        contents.peers(ownKey).map(row -> row.grantOf(team.name())).toList();
    return new TeamTokens(
        prepaidTokens,
        contents.unassignedTokens(team.name(), prepaidTokens),
        others.stream().mapToLong(SpendingGrant::heldTokens).sum(),
        others.stream().mapToLong(SpendingGrant::immediateTokens).sum(),
        nowStoreMs - contents.fullReadAtStoreMs());
  }

  /** Says whether the table alone could have paid for a request. */
  boolean isCoveredByUnassigned(long tokens) {
    return unassignedTokens >= tokens;
  }

  String describe() {
    return "unassigned %d of %d, others hold %d with %d ready, their rows %d ms old"
        .formatted(
            unassignedTokens, prepaidTokens, peersHeldTokens, peersImmediateTokens, rowsAgeMs);
  }
}
