package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import java.util.Optional;

/** Explains why tokens cannot be set aside, and when to come back. */
final class SpendingRefusals {

  /**
   * Age up to which the rows of the other instances show that a team has too little left: what they
   * have spent since would only leave less.
   */
  private static final long MAX_EVIDENCE_AGE_MS = 3_000;

  /** When to come back if other instances have to hand tokens back first. */
  private static final long REBALANCE_RETRY_MS = 1_200;

  /** Longest wait that is told to a caller. */
  private static final long MAX_RETRY_AFTER_MS = 3_000;

  private final SpendingState state;
  private final SpendingReader reader;
  private final SpendingRenewal renewal;

  SpendingRefusals(SpendingState state, SpendingReader reader, SpendingRenewal renewal) {
    this.state = state;
    this.reader = reader;
    this.renewal = renewal;
  }

  /**
   * Gives the refusal of a request whose team cannot pay, as the last rows already show, so that
   * its caller is told at once. Asking holders and table first could find no more.
   */
  Optional<SpendingException> ifBudgetSpent(TeamPlan team, long tokens) {
    Optional<SpendingException> refusal = budgetSpent(team, tokens);
    refusal.ifPresent(exception -> recordRefusal(team, tokens));
    return refusal;
  }

  private Optional<SpendingException> budgetSpent(TeamPlan team, long tokens) {
    return state
        .find(team.name())
        .filter(spending -> isRowCurrent() && reader.fullReadAgeMs() < MAX_EVIDENCE_AGE_MS)
        .map(spending -> state.remainingTokens(team, spending))
        .filter(leftTokens -> leftTokens < tokens)
        .map(leftTokens -> SpendingException.budgetSpent(team.name(), leftTokens, tokens));
  }

  private boolean isRowCurrent() {
    return renewal.renewalAgeMs()
        < SpendingRenewal.MAX_PERIOD_MS + SpendingRenewal.MIN_ON_DEMAND_INTERVAL_MS;
  }

  /**
   * Explains a refusal.
   *
   * <p>Only a renewal and a read of the whole table within the last seconds show that the team
   * itself has too little; without them the caller is told to come back.
   */
  SpendingException refusalFor(TeamPlan team, long tokens) {
    TeamTokens tokenLocations = recordRefusal(team, tokens);
    return budgetSpent(team, tokens)
        .orElseGet(() -> notAvailableHere(team, tokens, tokenLocations));
  }

  private TeamTokens recordRefusal(TeamPlan team, long tokens) {
    TeamTokens tokenLocations = state.tokensOf(team);
    state.shortages().onRefused(team.name(), tokens, tokenLocations);
    return tokenLocations;
  }

  private SpendingException notAvailableHere(
      TeamPlan team, long tokens, TeamTokens tokenLocations) {
    return state
        .find(team.name())
        .map(spending -> notAvailableHere(team, spending, tokens, tokenLocations))
        .orElseGet(
            () ->
                SpendingException.notAvailableHere(
                    team.name(), tokens, "no row yet", SpendingRenewal.PERIOD_MS));
  }

  private SpendingException notAvailableHere(
      TeamPlan team, TeamSpending spending, long tokens, TeamTokens tokenLocations) {
    long retryAfterMs =
        isRowCurrent()
            ? REBALANCE_RETRY_MS
            : Math.max(
                SpendingRenewal.MIN_ON_DEMAND_INTERVAL_MS,
                Math.min(MAX_RETRY_AFTER_MS, spending.waitMs(tokens)));
    return SpendingException.notAvailableHere(
        team.name(),
        tokens,
        describeState(spending, renewal.renewalAgeMs(), tokenLocations),
        retryAfterMs);
  }

  private static String describeState(
      TeamSpending spending, long sinceRenewalMs, TeamTokens tokenLocations) {
    return "spent %d of %d, limit %d, renewed %d ms ago, %s"
        .formatted(
            spending.spentTokens(),
            spending.boundTokens(),
            spending.limitTokens(),
            sinceRenewalMs,
            tokenLocations.describe());
  }
}
