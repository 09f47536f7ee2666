package io.mothrill.core.budget;

/**
 * Settings of the budgets of an instance.
 *
 * @param leaseMs the time for which an instance may spend tokens without reaching the platform
 * @param marginMs the time before the end of the lease from which no more tokens are reserved
 * @param reclaimGraceMs the time after the end of the lease during which an allotment still accepts
 *     bills
 * @param enduranceMs the time that an allotment should last
 * @param sliceMs the time that a slice borrowed from the holder of the failure domain should last
 * @param freeDivisor the divisor that limits an allotment to a fraction of the remaining tokens
 * @param floorTokens the smallest grant that is useful
 * @param postMs the interval between two ledger batches, in milliseconds
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
   * Returns the default settings for both deployments.
   *
   * @return a lease of three hours, a grace period of one hour, an endurance of seventy minutes
   */
  public static BudgetSettings standard() {
    return new BudgetSettings(
        3 * HOUR_MS, 10 * MINUTE_MS, HOUR_MS, 70 * MINUTE_MS, 30_000, 6, 2_000, 1_000);
  }
}
