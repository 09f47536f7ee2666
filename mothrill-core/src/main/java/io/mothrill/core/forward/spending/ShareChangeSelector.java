package io.mothrill.core.forward.spending;

import java.util.Set;

/**
 * Says which teams' shares may change in one row.
 *
 * <p>Failure: there are more teams than one transaction can change, and the teams change in turn.
 * Symptom: a request waits for several renewals, until the turn has come to its team. So what
 * requests want goes first, and the turns share what is left.
 */
final class ShareChangeSelector {

  /**
   * Teams whose share may change in one transaction. Each takes two entries of the hundred that a
   * transaction may have; the others keep their limits until their turn.
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
   * Creates the choice for one row.
   *
   * @param transfers what may move at all
   * @param wantedTeams the teams that requests wait for
   * @param teamCount all teams, which are asked about in the same order for each row
   * @param rotationStart the place of the first team whose turn it is
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
   * Which tokens may move between this instance and the teams' rows with the next row.
   *
   * @param any false when the teams' rows were not read, so that none may
   * @param rebalance true when holdings may follow small changes of their shares
   * @param returnAll true when all are handed back
   */
  record AllowedTransfers(boolean any, boolean rebalance, boolean returnAll) {}

  /** Says whether the share of the next team may change; to be asked once for each. */
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
