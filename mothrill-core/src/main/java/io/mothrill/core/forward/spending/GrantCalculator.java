package io.mothrill.core.forward.spending;

/** Calculates this instance's next grant for a team from the contents of the table. */
final class GrantCalculator {

  /** Seconds of demand that the immediate tokens cover at least: the time between two renewals. */
  private static final double MIN_IMMEDIATE_S = 1.0;

  /**
   * Typical requests that the immediate tokens cover at least, so that few requests need a renewal.
   */
  private static final double MIN_IMMEDIATE_REQUESTS = 1;

  /**
   * Seconds of demand that the immediate tokens may cover in a large fleet while much of the budget
   * remains. Demand comes in bursts, and the next row takes half a second or more where many
   * instances renew theirs; in a small fleet it takes some tens of milliseconds.
   */
  private static final double MAX_IMMEDIATE_S = 3;

  /**
   * Typical requests that the immediate tokens may cover in a large fleet: a long prompt costs
   * several of them.
   */
  private static final double MAX_IMMEDIATE_REQUESTS = 3;

  /**
   * Share of a team's remaining tokens that all its holders together may have as immediate tokens.
   * It limits what a power loss of all instances costs the team, in addition to one typical request
   * for each holder.
   */
  private static final double MAX_IMMEDIATE_SHARE = 0.04;

  /**
   * Typical request size before the first request: a medium-sized prompt with its output. With much
   * fewer immediate tokens, an instance that has not served the team yet could not serve the first
   * request while the store is unreachable; with 16,000, each power loss of all instances costs
   * more than that saves.
   */
  private static final long DEFAULT_TYPICAL_TOKENS = 6_000;

  /**
   * Rate of the slow release, relative to average demand. At this rate a crash of all instances
   * loses no more than the average demand until their successors start.
   */
  private static final double SLOW_RELEASE_DEMAND_FACTOR = 1.0;

  /** Rate of the fast release, relative to average demand; it leaves room for bursts. */
  private static final double FAST_RELEASE_DEMAND_FACTOR = 2.0;

  /** Share of a team's remaining tokens that the fast release may add for bursts in one second. */
  private static final double MAX_FAST_RELEASE_SHARE_PER_S = 0.05;

  /**
   * Share of a team's remaining tokens that the fast release always adds per second, for teams that
   * had no demand before the renewals stopped.
   */
  private static final double MIN_FAST_RELEASE_SHARE_PER_S = 0.005;

  /**
   * Minimum rate of the slow release in typical requests per second, for teams that send requests
   * rarely.
   */
  private static final double SLOW_RELEASE_REQUESTS_PER_S = 0.25;

  /**
   * Relative deviation from the target below which held tokens are left unchanged, to avoid
   * conflicts.
   */
  private static final double TOLERANCE = 0.2;

  private static final long TOLERANCE_TOKENS = 2_000;

  /**
   * Held tokens below this fraction of their target are changed without waiting for a rebalancing.
   */
  private static final double MIN_HELD_FRACTION = 0.3;

  /**
   * Held tokens that cover this many typical requests always wait for a rebalancing: a larger
   * request asks for the tokens that it needs.
   */
  private static final long SUFFICIENT_REQUESTS = 2;

  /** Number of peers from which an equal share of a budget is as small as a few requests. */
  static final int LARGE_FLEET_INSTANCES = 20;

  private final SharePolicy policy;

  GrantCalculator(SharePolicy policy) {
    this.policy = policy;
  }

  /**
   * What the table and this instance show about a team.
   *
   * @param prepaidTokens all tokens that the team may ever spend
   * @param grantedTokens the sum of all instances' limits
   * @param ownLimitTokens this instance's limit in the table
   * @param peersSpentTokens the tokens that active peers, which renew their rows, have spent by now
   * @param peersDemandTokensPerS the peak rate at which active peers spend
   * @param peerCount the number of active peers
   * @param inactiveLimitTokens the limits of peers that do not renew their rows
   * @param demandTokensPerS the peak rate at which this instance spends
   * @param averageTokensPerS the average rate at which this instance spends
   * @param typicalTokens the typical size of a request; 0 before the first one
   * @param wantedTokens the tokens that requests are waiting for; 0 when there are none
   * @param holder true when this instance is the team's holder for its failure domain
   * @param holderCount the number of holders, one in each failure domain
   * @param mayRebalance true when the held tokens may follow small changes of their target
   * @param returningAll true when no tokens may be held any longer
   */
  record TeamState(
      long prepaidTokens,
      long grantedTokens,
      long ownLimitTokens,
      long peersSpentTokens,
      long peersDemandTokensPerS,
      int peerCount,
      long inactiveLimitTokens,
      long demandTokensPerS,
      long averageTokensPerS,
      long typicalTokens,
      long wantedTokens,
      boolean holder,
      int holderCount,
      boolean mayRebalance,
      boolean returningAll) {

    long unassignedTokens() {
      return Math.max(0, prepaidTokens - grantedTokens);
    }

    long remainingTokens(long ownSpentTokens) {
      return Math.max(0, prepaidTokens - peersSpentTokens - inactiveLimitTokens - ownSpentTokens);
    }

    long allDemandTokensPerS() {
      return peersDemandTokensPerS + demandTokensPerS;
    }

    /** Returns the typical size of a request, or a default before the first one. */
    long typicalOrDefaultTokens() {
      return typicalTokens == 0 ? DEFAULT_TYPICAL_TOKENS : typicalTokens;
    }

    boolean isLargeFleet() {
      return peerCount >= LARGE_FLEET_INSTANCES;
    }

    boolean isOverGranted() {
      return grantedTokens > prepaidTokens;
    }
  }

  /** Calculates a grant; unless {@code mayChange} is set, the limit stays as it is in the table. */
  SpendingGrant calculate(TeamState state, long spentTokens, boolean mayChange) {
    if (!mayChange) {
      return calculate(state, spentTokens, held(state, spentTokens), state.ownLimitTokens());
    }
    if (state.returningAll()) {
      return new SpendingGrant(spentTokens, spentTokens, 0, 0, 0, 0);
    }
    return calculate(
        state,
        spentTokens,
        tokensToHold(state, spentTokens),
        state.ownLimitTokens() + state.unassignedTokens());
  }

  private static SpendingGrant calculate(
      TeamState state, long spentTokens, long held, long maxLimitTokens) {
    long typical = state.typicalOrDefaultTokens();
    long immediate = state.holder() ? immediateTokens(state, spentTokens) : 0;
    long wantedImmediate = immediate + state.wantedTokens();
    double usualRelease =
        Math.max(
            SLOW_RELEASE_REQUESTS_PER_S * typical,
            SLOW_RELEASE_DEMAND_FACTOR * state.averageTokensPerS());
    double slowRelease = state.holder() ? usualRelease : 0;
    double fastRelease = fastReleaseTokensPerS(state, spentTokens);
    return new SpendingGrant(
        spentTokens,
        Math.min(spentTokens + held, maxLimitTokens),
        Math.min(held, wantedImmediate),
        Math.round(slowRelease),
        Math.round(Math.max(slowRelease, fastRelease)),
        state.demandTokensPerS());
  }

  /**
   * Returns the rate of the fast release.
   *
   * <p>Released tokens count as spent if the process ends before the store is reachable again. No
   * more is therefore released than is likely to be used, even if demand has just fallen.
   */
  private static double fastReleaseTokensPerS(TeamState state, long spentTokens) {
    double average = state.averageTokensPerS();
    double share = (double) state.remainingTokens(spentTokens) / state.holderCount();
    double withBursts =
        Math.min(FAST_RELEASE_DEMAND_FACTOR * average, MAX_FAST_RELEASE_SHARE_PER_S * share);
    return Math.max(average, withBursts) + MIN_FAST_RELEASE_SHARE_PER_S * share;
  }

  /**
   * Returns the immediate tokens of a holder.
   *
   * <p>When all instances lose power, their immediate tokens count as spent although they were not,
   * and a team that has little left is refused tokens that it has paid for. If the immediate tokens
   * are fewer than the next request needs, that request waits for the next row and its answer is
   * late. A holder therefore has ample immediate tokens while much of the budget remains, and the
   * minimum when little remains.
   */
  private static long immediateTokens(TeamState state, long spentTokens) {
    long typical = state.typicalOrDefaultTokens();
    double average = state.averageTokensPerS();
    double minimum = Math.max(MIN_IMMEDIATE_S * average, MIN_IMMEDIATE_REQUESTS * typical);
    if (!state.isLargeFleet()) {
      return Math.round(minimum);
    }
    double maximum = Math.max(MAX_IMMEDIATE_S * average, MAX_IMMEDIATE_REQUESTS * typical);
    double affordable =
        MAX_IMMEDIATE_SHARE * state.remainingTokens(spentTokens) / state.holderCount();
    return Math.round(Math.max(minimum, Math.min(maximum, affordable)));
  }

  private long tokensToHold(TeamState state, long spentTokens) {
    long held = held(state, spentTokens);
    long maximum = held + state.unassignedTokens();
    long target = target(state, spentTokens);
    if (state.wantedTokens() > held) {
      return Math.min(maximum, Math.max(target, state.wantedTokens()));
    }
    return mayKeep(state, held, target) ? held : Math.min(maximum, target);
  }

  /**
   * Checks whether the held tokens may stay as they are although the target differs.
   *
   * <p>If many instances followed every change of their targets at the same time, they would change
   * the same rows, nearly all their writes would conflict, and no row would be renewed. Small
   * changes are therefore followed only when this instance rebalances, which is rarer the more
   * instances there are.
   */
  private static boolean mayKeep(TeamState state, long held, long target) {
    if (state.isOverGranted() || target == 0) {
      return false;
    }
    boolean close = Math.abs(target - held) <= TOLERANCE * held + TOLERANCE_TOKENS;
    boolean sufficient =
        held >= MIN_HELD_FRACTION * target
            || held >= SUFFICIENT_REQUESTS * state.typicalOrDefaultTokens();
    return close || (sufficient && !state.mayRebalance());
  }

  private static long held(TeamState state, long spentTokens) {
    return Math.max(0, state.ownLimitTokens() - spentTokens);
  }

  /**
   * Returns the number of tokens to hold. In a large fleet only the holders have a share: split
   * among all instances, the shares would be smaller than a request. In a small fleet the other
   * instances hold tokens too, in case their holder is lost as well; these are released only by the
   * fast release.
   */
  private long target(TeamState state, long spentTokens) {
    if (state.isLargeFleet() && !state.holder()) {
      return 0;
    }
    return policy.targetTokens(
        new SharePolicy.Input(
            state.remainingTokens(spentTokens),
            state.demandTokensPerS(),
            state.allDemandTokensPerS(),
            state.isLargeFleet() ? state.holderCount() : state.peerCount() + 1,
            state.typicalOrDefaultTokens()));
  }
}
