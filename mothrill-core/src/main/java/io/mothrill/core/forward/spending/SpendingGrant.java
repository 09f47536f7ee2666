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
 * @param immediateTokens what may be spent beyond {@code spentTokens} before the bound begins to
 *     open
 * @param slowReleaseTokensPerS how fast the bound opens at first
 * @param fastReleaseTokensPerS how fast it opens in a long silence
 * @param demandTokensPerS how fast the instance has spent lately, for sharing out the rest
 */
public record SpendingGrant(
    long spentTokens,
    long limitTokens,
    long immediateTokens,
    long slowReleaseTokensPerS,
    long fastReleaseTokensPerS,
    long demandTokensPerS) {

  /** How long a row counts as new: renewals come every second, so one of them has failed then. */
  public static final long SLOW_RELEASE_AFTER_MS = 1_200;

  /**
   * Silence after which the bound opens fast: a process that was killed, or lost power for a
   * moment, has a successor by then, which has closed the row.
   */
  public static final long FAST_RELEASE_AFTER_MS = 2_600;

  /** A silence that never passes. */
  public static final long NEVER_MS = Long.MAX_VALUE / 2;

  private static final long MS_PER_S = 1_000;

  /** Demand is followed by its peaks, which are about twice its average. */
  private static final long PEAK_TO_AVERAGE_RATIO = 2;

  /** A grant under which nothing was spent and nothing may be. */
  public static final SpendingGrant NONE = new SpendingGrant(0, 0, 0, 0, 0, 0);

  /**
   * Gives the most that may have been spent.
   *
   * @param ageMs milliseconds since the row was sent
   * @return tokens, never more than the limit and never less for a longer silence
   */
  public long boundAfterMs(long ageMs) {
    long slowReleaseMs =
        Math.max(0, Math.min(ageMs, FAST_RELEASE_AFTER_MS) - SLOW_RELEASE_AFTER_MS);
    long fastReleaseMs = Math.max(0, ageMs - FAST_RELEASE_AFTER_MS);
    long released =
        (slowReleaseTokensPerS * slowReleaseMs + fastReleaseTokensPerS * fastReleaseMs) / MS_PER_S;
    return Math.min(limitTokens, spentTokens + immediateTokens + released);
  }

  /**
   * Gives the silence after which the bound reaches an amount.
   *
   * @param tokens the amount
   * @return milliseconds since the row was sent; {@link #NEVER_MS} or more when it never does
   */
  public long timeToReachMs(long tokens) {
    if (tokens > limitTokens) {
      return NEVER_MS;
    }
    long missing = tokens - spentTokens - immediateTokens;
    long slowReleased =
        slowReleaseTokensPerS * (FAST_RELEASE_AFTER_MS - SLOW_RELEASE_AFTER_MS) / MS_PER_S;
    if (missing <= 0) {
      return 0;
    }
    return missing <= slowReleased
        ? SLOW_RELEASE_AFTER_MS + releaseTimeMs(missing, slowReleaseTokensPerS)
        : FAST_RELEASE_AFTER_MS + releaseTimeMs(missing - slowReleased, fastReleaseTokensPerS);
  }

  private static long releaseTimeMs(long tokens, long tokensPerS) {
    return tokensPerS == 0 ? NEVER_MS : (tokens * MS_PER_S + tokensPerS - 1) / tokensPerS;
  }

  /**
   * Gives what is left below the limit.
   *
   * @return tokens
   */
  public long heldTokens() {
    return limitTokens - spentTokens;
  }

  /**
   * Estimates what a living instance has spent since it sent the row.
   *
   * @param ageMs milliseconds since the row was sent
   * @return tokens, never more than the limit
   */
  public long expectedSpentAfterMs(long ageMs) {
    long spentSince = demandTokensPerS * Math.max(0, ageMs) / (PEAK_TO_AVERAGE_RATIO * MS_PER_S);
    return Math.min(limitTokens, spentTokens + spentSince);
  }

  /**
   * Settles the grant of a dead instance: the most that it can have spent counts as spent, and
   * nothing more may be.
   *
   * @param ageMs milliseconds since the row was sent, or more
   * @return a grant without holding
   */
  public SpendingGrant closedAfterMs(long ageMs) {
    long bound = boundAfterMs(ageMs);
    return new SpendingGrant(bound, bound, 0, 0, 0, 0);
  }
}
