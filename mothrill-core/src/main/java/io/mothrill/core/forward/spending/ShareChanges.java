package io.mothrill.core.forward.spending;

import java.util.Set;

/**
 * Says which teams' shares may change in one row.
 *
 * <p>Failure: there are more teams than one transaction can change, and the teams change in turn.
 * Symptom: a request waits for several renewals, until the turn has come to its team. So what
 * requests want goes first, and the turns share what is left.
 */
final class ShareChanges {

  /**
   * Teams whose share may change in one transaction. Each takes two entries of the hundred that a
   * transaction may have; the others keep their limits until their turn.
   */
  static final int MAX_CHANGES = 40;

  private final Moves moves;
  private final Set<String> wanted;
  private final int teamCount;
  private final int firstChange;
  private final int leftForTurns;
  private int wantedCount;
  private int position;

  /**
   * Creates the choice for one row.
   *
   * @param moves what may move at all
   * @param wanted the teams that requests wait for
   * @param teamCount all teams, which are asked about in the same order for each row
   * @param firstChange the place of the first team whose turn it is
   */
  ShareChanges(Moves moves, Set<String> wanted, int teamCount, int firstChange) {
    this.moves = moves;
    this.wanted = wanted;
    this.teamCount = teamCount;
    this.firstChange = firstChange;
    this.leftForTurns = Math.max(0, MAX_CHANGES - wanted.size());
  }

  /**
   * Which tokens may move between this instance and the teams' rows with the next row.
   *
   * @param any false when the teams' rows were not read, so that none may
   * @param inTurn true when holdings may follow small changes of their shares
   * @param leaving true when all are handed back
   */
  record Moves(boolean any, boolean inTurn, boolean leaving) {}

  /** Says whether the share of the next team may change; to be asked once for each. */
  boolean allow(String team) {
    boolean turn = isTurnOf(position++);
    if (!moves.any()) {
      return false;
    }
    return wanted.contains(team)
        ? wantedCount++ < MAX_CHANGES
        : turn && (moves.inTurn() || moves.leaving());
  }

  private boolean isTurnOf(int index) {
    return (index - firstChange + teamCount) % teamCount < leftForTurns;
  }
}
