package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.platform.RowKey;
import java.util.List;

/**
 * Where one team's tokens are, according to the rows that an instance has read.
 *
 * @param prepaidTokens all tokens that the team may ever spend
 * @param unassignedTokens the tokens granted to no instance; negative while too many are granted
 * @param peersHeldTokens the tokens that peers hold: granted to them and not spent
 * @param peersImmediateTokens the part of them that was immediate when the rows were sent
 * @param rowsAgeMs the age of the peers' rows
 */
record TeamTokens(
    long prepaidTokens,
    long unassignedTokens,
    long peersHeldTokens,
    long peersImmediateTokens,
    long rowsAgeMs) {

  static TeamTokens of(
      SpendingTable.Snapshot snapshot, RowKey ownKey, TeamPlan team, long nowStoreMs) {
    long prepaidTokens = team.prepaidTokens().orElse(0);
    List<SpendingGrant> peerGrants =
        snapshot.peers(ownKey).map(row -> row.grantOf(team.name())).toList();
    return new TeamTokens(
        prepaidTokens,
        snapshot.unassignedTokens(team.name(), prepaidTokens),
        peerGrants.stream().mapToLong(SpendingGrant::heldTokens).sum(),
        peerGrants.stream().mapToLong(SpendingGrant::immediateTokens).sum(),
        nowStoreMs - snapshot.fullReadAtStoreMs());
  }

  /** Checks whether the unassigned tokens alone would have covered a request. */
  boolean isCoveredByUnassigned(long tokens) {
    return unassignedTokens >= tokens;
  }

  String describe() {
    return "unassigned %d of %d, others hold %d with %d ready, their rows %d ms old"
        .formatted(
            unassignedTokens, prepaidTokens, peersHeldTokens, peersImmediateTokens, rowsAgeMs);
  }
}
