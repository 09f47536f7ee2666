package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;

/** Explains why tokens cannot be set aside, and when to come back. */
final class SpendingRefusals {

  /**
   * Age up to which the rows of the other instances show that a team has too little left: what they
   * have spent since would only leave less.
   */
  private static final long EVIDENCE_MS = 3_000;

  /** When to come back if other instances have to hand tokens back first. */
  private static final long REBALANCED_MS = 1_200;

  /** Longest wait that is told to a caller. */
  private static final long MAX_RETRY_AFTER_MS = 3_000;

  private final SpendingRows rows;
  private final SpendingReader reader;
  private final SpendingRenewal renewal;

  SpendingRefusals(SpendingRows rows, SpendingReader reader, SpendingRenewal renewal) {
    this.rows = rows;
    this.reader = reader;
    this.renewal = renewal;
  }

  /**
   * Says whether the last rows already show that a team cannot pay, so that its caller is told at
   * once. Asking holders and table first would take most of a second and could find no more.
   */
  boolean isSurelySpent(TeamPlan team, long tokens) {
    return rows.find(team.name()).filter(spending -> isSpent(team, spending, tokens)).isPresent();
  }

  private boolean isSpent(TeamPlan team, TeamSpending spending, long tokens) {
    return isRenewed()
        && reader.sinceWholeReadMs() < EVIDENCE_MS
        && rows.leftTokens(team, spending) < tokens;
  }

  private boolean isRenewed() {
    return renewal.sinceRenewalMs()
        < SpendingRenewal.LONGEST_PAUSE_MS + SpendingRenewal.LEAST_PAUSE_MS;
  }

  /**
   * Explains a refusal.
   *
   * <p>Only a renewal and a read of the whole table within the last seconds show that the team
   * itself has too little; without them the caller is told to come back.
   */
  SpendingException of(TeamPlan team, long tokens) {
    TeamTokens where = rows.tokensOf(team);
    rows.shortages().onRefused(team.name(), tokens, where);
    return rows.find(team.name())
        .map(spending -> of(team, spending, tokens, where))
        .orElseGet(
            () ->
                SpendingException.notHere(
                    team.name(), tokens, "no row yet", SpendingRenewal.PERIOD_MS));
  }

  private SpendingException of(
      TeamPlan team, TeamSpending spending, long tokens, TeamTokens where) {
    if (isSpent(team, spending, tokens)) {
      return SpendingException.spent(team.name(), rows.leftTokens(team, spending), tokens);
    }
    long sinceRenewalMs = renewal.sinceRenewalMs();
    if (isRenewed()) {
      return SpendingException.notHere(
          team.name(), tokens, stateOf(spending, sinceRenewalMs, where), REBALANCED_MS);
    }
    long waitMs = Math.min(MAX_RETRY_AFTER_MS, spending.waitMs(tokens));
    return SpendingException.notHere(
        team.name(),
        tokens,
        stateOf(spending, sinceRenewalMs, where),
        Math.max(SpendingRenewal.LEAST_PAUSE_MS, waitMs));
  }

  private static String stateOf(TeamSpending spending, long sinceRenewalMs, TeamTokens where) {
    return "spent %d of %d, limit %d, renewed %d ms ago, %s"
        .formatted(
            spending.spentTokens(),
            spending.boundTokens(),
            spending.limitTokens(),
            sinceRenewalMs,
            where.describe());
  }
}
