package io.mothrill.core.forward.spending;

/**
 * What one row of the platform's table lets one instance spend of one team's budget.
 *
 * <p>All tokens are counted from the first start of the instance's machine. The bound opens with
 * the time since the row was sent: at once it is a little more than what was spent, later it opens
 * at a fixed rate until it reaches the limit. Whoever reads the row of a dead instance therefore
 * knows the most that it can have spent, and an instance that is cut off goes on spending.
 *
 * <pre>{@code
 * SpendingGrant grant = new SpendingGrant(1_000, 50_000, 2_000, 500, 100);
 * grant.boundAfterMs(0);      // 3,000: spent and near
 * grant.boundAfterMs(11_500); // 8,000: ten seconds of opening more
 * }</pre>
 *
 * @param spentTokens what was spent or set aside when the row was sent
 * @param limitTokens the most that may ever be spent under this row
 * @param nearTokens what may be spent beyond {@code spentTokens} before the bound begins to open
 * @param openTokensPerS how fast the bound opens after that
 * @param demandTokensPerS how fast the instance has spent lately, for sharing out the rest
 */
public record SpendingGrant(
    long spentTokens,
    long limitTokens,
    long nearTokens,
    long openTokensPerS,
    long demandTokensPerS) {

  /**
   * How long a row counts as new. A process that is killed is back after about this time, and loses
   * only what is near; renewals come every second, so the bound opens when one has failed.
   */
  public static final long FRESH_MS = 1_500;

  private static final long MS_PER_S = 1_000;

  /** A grant under which nothing was spent and nothing may be. */
  public static final SpendingGrant NONE = new SpendingGrant(0, 0, 0, 0, 0);

  /**
   * Gives the most that may have been spent.
   *
   * @param silentMs milliseconds since the row was sent
   * @return tokens, never more than the limit and never less for a longer silence
   */
  public long boundAfterMs(long silentMs) {
    long openMs = Math.max(0, silentMs - FRESH_MS);
    long opened = openTokensPerS * openMs / MS_PER_S;
    return Math.min(limitTokens, spentTokens + nearTokens + opened);
  }

  /**
   * Gives the silence after which the bound reaches an amount.
   *
   * @param tokens the amount
   * @return milliseconds since the row was sent; {@code Long.MAX_VALUE} when it never does
   */
  public long silenceUntilMs(long tokens) {
    if (tokens > limitTokens) {
      return Long.MAX_VALUE;
    }
    long missing = tokens - spentTokens - nearTokens;
    if (missing <= 0) {
      return 0;
    }
    return openTokensPerS == 0
        ? Long.MAX_VALUE
        : FRESH_MS + (missing * MS_PER_S + openTokensPerS - 1) / openTokensPerS;
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
   * Settles the grant of a dead instance: the most that it can have spent counts as spent, and
   * nothing more may be.
   *
   * @param silentMs milliseconds since the row was sent, or more
   * @return a grant without holding
   */
  public SpendingGrant closedAfterMs(long silentMs) {
    long bound = boundAfterMs(silentMs);
    return new SpendingGrant(bound, bound, 0, 0, 0);
  }
}
