package io.mothrill.core.forward.spending;

/**
 * What one row of the platform's table allows one instance to spend of one team's budget.
 *
 * <p>All tokens are counted from the first start of the instance's machine. The bound, the most
 * that may have been spent by now, rises with the age of the row: it starts slightly above the
 * spent tokens, rises slowly at first and fast after about two and a half seconds, until it reaches
 * the limit. A reader of the row of a crashed instance therefore knows the most that it can have
 * spent, which is little if its successor starts within seconds, and an instance that is
 * partitioned from the store can continue to spend.
 *
 * <pre>{@code
 * SpendingGrant grant = new SpendingGrant(1_000, 50_000, 2_000, 500, 1_500, 100);
 * grant.boundAfterMs(0);     // 3,000: spent and immediate tokens
 * grant.boundAfterMs(2_200); // 3,500: plus one second of slow release
 * grant.boundAfterMs(3_600); // 5,200: plus all of the slow release and one second of fast release
 * }</pre>
 *
 * @param spentTokens the tokens that were spent or reserved when the row was sent
 * @param limitTokens the most that may ever be spent under this row
 * @param immediateTokens the tokens that may be spent beyond {@code spentTokens} before the bound
 *     rises
 * @param slowReleaseTokensPerS the rate at which the bound rises at first
 * @param fastReleaseTokensPerS the rate at which the bound rises once the row is old
 * @param demandTokensPerS the instance's recent spending rate, for sharing the remaining tokens
 */
public record SpendingGrant(
    long spentTokens,
    long limitTokens,
    long immediateTokens,
    long slowReleaseTokensPerS,
    long fastReleaseTokensPerS,
    long demandTokensPerS) {

  /**
   * Age of the row at which the slow release starts: renewals are sent every second, so at least
   * one has failed by then.
   */
  public static final long SLOW_RELEASE_AFTER_MS = 1_200;

  /**
   * Age of the row at which the fast release starts: a process that was killed, or lost power
   * briefly, has a successor by then, which has closed the row.
   */
  public static final long FAST_RELEASE_AFTER_MS = 2_600;

  /** A time that is never reached. */
  public static final long NEVER_MS = Long.MAX_VALUE / 2;

  private static final long MS_PER_S = 1_000;

  /** Ratio of the demand in a grant, which follows peaks, to the average demand. */
  private static final long PEAK_TO_AVERAGE_RATIO = 2;

  /** A grant under which nothing was spent and nothing may be spent. */
  public static final SpendingGrant NONE = new SpendingGrant(0, 0, 0, 0, 0, 0);

  /**
   * Returns the bound, the most that may have been spent.
   *
   * @param ageMs milliseconds since the row was sent
   * @return tokens, never more than the limit and never fewer at a greater age
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
   * Returns the age at which the bound reaches an amount.
   *
   * @param tokens the amount
   * @return milliseconds since the row was sent; {@link #NEVER_MS} or more if it is never reached
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
   * Returns the held tokens, which are granted and not spent.
   *
   * @return tokens
   */
  public long heldTokens() {
    return limitTokens - spentTokens;
  }

  /**
   * Estimates what a running instance has spent since the row was sent.
   *
   * @param ageMs milliseconds since the row was sent
   * @return the estimated total of spent tokens, never more than the limit
   */
  public long expectedSpentAfterMs(long ageMs) {
    long spentSince = demandTokensPerS * Math.max(0, ageMs) / (PEAK_TO_AVERAGE_RATIO * MS_PER_S);
    return Math.min(limitTokens, spentTokens + spentSince);
  }

  /**
   * Closes the grant of an instance whose process has ended: the most that it can have spent counts
   * as spent, and nothing more may be spent.
   *
   * @param ageMs milliseconds since the row was sent, or more
   * @return a grant without held tokens
   */
  public SpendingGrant closedAfterMs(long ageMs) {
    long bound = boundAfterMs(ageMs);
    return new SpendingGrant(bound, bound, 0, 0, 0, 0);
  }
}
