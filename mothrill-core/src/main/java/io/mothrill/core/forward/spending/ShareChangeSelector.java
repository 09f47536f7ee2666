package io.mothrill.core.forward.spending;

import java.util.Set;

/**
 * Selects the teams whose shares may change with one row.
 *
 * <p>There may be more teams than one transaction can change, so teams change in rotation. A
 * request would wait for several renewals if it had to wait until the rotation reaches its team.
 * Teams that requests are waiting for therefore go first, and the rotation uses the remaining
 * slots.
 */
final class ShareChangeSelector {

  /**
   * Teams whose share may change in one transaction. Each takes two of the hundred entries that a
   * transaction may have; the other teams keep their limits until the rotation reaches them.
   */
  static final int MAX_CHANGES = 40;

  private final AllowedTransfers transfers;
  private final Set<String> wantedTeams;
  private final int teamCount;
  private final int rotationStart;
  private final int rotationSlots;
  private int allowedWantedCount;
  private int position;

  /**
   * Creates the selector for one row.
   *
   * @param transfers the transfers that are allowed at all
   * @param wantedTeams the teams that requests are waiting for
   * @param teamCount the number of all teams, which are queried in the same order for each row
   * @param rotationStart the index of the first team in rotation
   */
  ShareChangeSelector(
      AllowedTransfers transfers, Set<String> wantedTeams, int teamCount, int rotationStart) {
    this.transfers = transfers;
    this.wantedTeams = wantedTeams;
    this.teamCount = teamCount;
    this.rotationStart = rotationStart;
    this.rotationSlots = Math.max(0, MAX_CHANGES - wantedTeams.size());
  }

  /**
   * The transfers that are allowed between this instance and the teams' rows with the next row.
   *
   * @param any false when the teams' rows were not read and nothing may be transferred
   * @param rebalance true when held tokens may follow small changes of their target
   * @param returnAll true when all tokens are returned
   */
  record AllowedTransfers(boolean any, boolean rebalance, boolean returnAll) {}

  /** Checks whether the share of the next team may change; must be called once for each team. */
  boolean mayChange(String team) {
    boolean inRotation = isInRotation(position++);
    if (!transfers.any()) {
      return false;
    }
    return wantedTeams.contains(team)
        ? allowedWantedCount++ < MAX_CHANGES
        : inRotation && (transfers.rebalance() || transfers.returnAll());
  }

  private boolean isInRotation(int index) {
    return (index - rotationStart + teamCount) % teamCount < rotationSlots;
  }
}
