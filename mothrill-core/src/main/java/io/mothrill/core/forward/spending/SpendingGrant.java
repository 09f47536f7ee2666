package io.mothrill.core.forward.spending;

/**
 * What one row of the platform's table lets one instance spend of one team's budget.
 *
 * <p>All tokens are counted from the first start of the instance's machine. The bound opens with
 * the time since the row was sent: at once it is a little more than what was spent, then it opens
 * slowly, and after two and a half seconds fast, until it reaches the limit. Whoever reads the row
 * of a dead instance therefore knows the most that it can have spent, which is little if its
 * successor is there within seconds, and an instance that is cut off goes on spending.
 *
 * <pre>{@code
 * SpendingGrant grant = new SpendingGrant(1_000, 50_000, 2_000, 500, 1_500, 100);
 * grant.boundAfterMs(0);     // 3,000: spent and near
 * grant.boundAfterMs(2_200); // 3,500: a second of slow opening more
 * grant.boundAfterMs(3_600); // 5,200: all of the slow opening and a second of the fast one
 * }</pre>
 *
 * @param spentTokens what was spent or set aside when the row was sent
 * @param limitTokens the most that may ever be spent under this row
 * @param nearTokens what may be spent beyond {@code spentTokens} before the bound begins to open
 * @param openTokensPerS how fast the bound opens at first
 * @param laterTokensPerS how fast it opens in a long silence
 * @param demandTokensPerS how fast the instance has spent lately, for sharing out the rest
 */
public record SpendingGrant(
    long spentTokens,
    long limitTokens,
    long nearTokens,
    long openTokensPerS,
    long laterTokensPerS,
    long demandTokensPerS) {

  /** How long a row counts as new: renewals come every second, so one of them has failed then. */
  public static final long FRESH_MS = 1_200;

  /**
   * Silence after which the bound opens fast: a process that was killed, or lost power for a
   * moment, has a successor by then, which has closed the row.
   */
  public static final long LONG_SILENCE_MS = 2_600;

  /** A silence that never passes. */
  public static final long NEVER_MS = Long.MAX_VALUE / 2;

  private static final long MS_PER_S = 1_000;

  /** Demand is followed by its peaks, which are about twice its average. */
  private static final long PEAK_BY_AVERAGE = 2;

  /** A grant under which nothing was spent and nothing may be. */
  public static final SpendingGrant NONE = new SpendingGrant(0, 0, 0, 0, 0, 0);

  /**
   * Gives the most that may have been spent.
   *
   * @param silentMs milliseconds since the row was sent
   * @return tokens, never more than the limit and never less for a longer silence
   */
  public long boundAfterMs(long silentMs) {
    long slowMs = Math.max(0, Math.min(silentMs, LONG_SILENCE_MS) - FRESH_MS);
    long fastMs = Math.max(0, silentMs - LONG_SILENCE_MS);
    long opened = (openTokensPerS * slowMs + laterTokensPerS * fastMs) / MS_PER_S;
    return Math.min(limitTokens, spentTokens + nearTokens + opened);
  }

  /**
   * Gives the silence after which the bound reaches an amount.
   *
   * @param tokens the amount
   * @return milliseconds since the row was sent; {@link #NEVER_MS} or more when it never does
   */
  public long silenceUntilMs(long tokens) {
    if (tokens > limitTokens) {
      return NEVER_MS;
    }
    long missing = tokens - spentTokens - nearTokens;
    long slow = openTokensPerS * (LONG_SILENCE_MS - FRESH_MS) / MS_PER_S;
    if (missing <= 0) {
      return 0;
    }
    return missing <= slow
        ? FRESH_MS + timeFor(missing, openTokensPerS)
        : LONG_SILENCE_MS + timeFor(missing - slow, laterTokensPerS);
  }

  private static long timeFor(long tokens, long tokensPerS) {
    return tokensPerS == 0 ? NEVER_MS : (tokens * MS_PER_S + tokensPerS - 1) / tokensPerS;
  }

  /**
   * Gives what is left below the limit.
   *
   * @return tokens
   */
  public long holdingTokens() {
    return limitTokens - spentTokens;
  }

  /**
   * Estimates what a living instance has spent since it sent the row.
   *
   * @param silentMs milliseconds since the row was sent
   * @return tokens, never more than the limit
   */
  public long expectedSpentAfterMs(long silentMs) {
    long since = demandTokensPerS * Math.max(0, silentMs) / (PEAK_BY_AVERAGE * MS_PER_S);
    return Math.min(limitTokens, spentTokens + since);
  }

  /**
   * Settles the grant of a dead instance: the most that it can have spent counts as spent, and
   * nothing more may be.
   *
   * @param silentMs milliseconds since the row was sent, or more
   * @return a grant without holding
   */
  public SpendingGrant closedAfterMs(long silentMs) {
    long bound = boundAfterMs(silentMs);
    return new SpendingGrant(bound, bound, 0, 0, 0, 0);
  }
}
