package io.mothrill.core.budget;

/**
 * How budgets are held.
 *
 * @param leaseMs how long an instance may spend without the platform
 * @param marginMs how long before the lease's end nothing more is reserved
 * @param reclaimGraceMs how long after the lease's end an allotment still takes bills
 * @param enduranceMs how long an allotment should last
 * @param sliceMs how long a slice from the domain's holder should last
 * @param freeDivisor an allotment is at most this fraction of what is left
 * @param floorTokens the least that is worth a grant
 * @param postMs milliseconds between two ledger batches
 */
public record BudgetSettings(
    long leaseMs,
    long marginMs,
    long reclaimGraceMs,
    long enduranceMs,
    long sliceMs,
    long freeDivisor,
    long floorTokens,
    long postMs) {

  private static final long MINUTE_MS = 60_000;
  private static final long HOUR_MS = 60 * MINUTE_MS;

  /**
   * Gives the settings that suit both deployments.
   *
   * @return a lease of three hours, a grace of one, endurance of seventy minutes
   */
  public static BudgetSettings standard() {
    return new BudgetSettings(
        3 * HOUR_MS, 10 * MINUTE_MS, HOUR_MS, 70 * MINUTE_MS, 30_000, 6, 2_000, 1_000);
  }
}
