package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import java.util.Optional;

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
   * Gives the refusal of a request whose team cannot pay, as the last rows already show, so that
   * its caller is told at once. Asking holders and table first could find no more.
   */
  Optional<SpendingException> ofSpent(TeamPlan team, long tokens) {
    Optional<SpendingException> refusal = spent(team, tokens);
    refusal.ifPresent(given -> noteRefused(team, tokens));
    return refusal;
  }

  private Optional<SpendingException> spent(TeamPlan team, long tokens) {
    return rows.find(team.name())
        .filter(spending -> isRenewed() && reader.sinceWholeReadMs() < EVIDENCE_MS)
        .map(spending -> rows.leftTokens(team, spending))
        .filter(leftTokens -> leftTokens < tokens)
        .map(leftTokens -> SpendingException.spent(team.name(), leftTokens, tokens));
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
    TeamTokens where = noteRefused(team, tokens);
    return spent(team, tokens).orElseGet(() -> notHere(team, tokens, where));
  }

  private TeamTokens noteRefused(TeamPlan team, long tokens) {
    TeamTokens where = rows.tokensOf(team);
    rows.shortages().onRefused(team.name(), tokens, where);
    return where;
  }

  private SpendingException notHere(TeamPlan team, long tokens, TeamTokens where) {
    return rows.find(team.name())
        .map(spending -> notHere(team, spending, tokens, where))
        .orElseGet(
            () ->
                SpendingException.notHere(
                    team.name(), tokens, "no row yet", SpendingRenewal.PERIOD_MS));
  }

  private SpendingException notHere(
      TeamPlan team, TeamSpending spending, long tokens, TeamTokens where) {
    long retryAfterMs =
        isRenewed()
            ? REBALANCED_MS
            : Math.max(
                SpendingRenewal.LEAST_PAUSE_MS,
                Math.min(MAX_RETRY_AFTER_MS, spending.waitMs(tokens)));
    return SpendingException.notHere(
        team.name(), tokens, stateOf(spending, renewal.sinceRenewalMs(), where), retryAfterMs);
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
