package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.TeamPlan;
import java.util.Optional;

/**
 * Creates the exceptions for requests whose tokens cannot be reserved, with the time of a retry.
 */
final class SpendingRefusals {

  /**
   * Maximum age at which the peers' rows prove that a team has too few tokens left: what the peers
   * have spent since then can only reduce them.
   */
  private static final long MAX_EVIDENCE_AGE_MS = 3_000;

  /** Retry delay when other instances have to return tokens first. */
  private static final long REBALANCE_RETRY_MS = 1_200;

  /** Maximum retry delay that is reported to a caller. */
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
   * Returns the refusal of a request whose team has too few tokens according to the latest rows, so
   * that it is refused immediately. Asking the holders and the table first could not find more.
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
        .filter(remainingTokens -> remainingTokens < tokens)
        .map(
            remainingTokens -> SpendingException.budgetSpent(team.name(), remainingTokens, tokens));
  }

  private boolean isRowCurrent() {
    return renewal.renewalAgeMs()
        < SpendingRenewal.MAX_PERIOD_MS + SpendingRenewal.MIN_ON_DEMAND_INTERVAL_MS;
  }

  /**
   * Creates the refusal of a request.
   *
   * <p>Only a renewal and a full read of the table within the last seconds prove that the team
   * itself has too few tokens; otherwise the caller is asked to retry.
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
      TeamSpending spending, long renewalAgeMs, TeamTokens tokenLocations) {
    return "spent %d of %d, limit %d, renewed %d ms ago, %s"
        .formatted(
            spending.spentTokens(),
            spending.boundTokens(),
            spending.limitTokens(),
            renewalAgeMs,
            tokenLocations.describe());
  }
}
