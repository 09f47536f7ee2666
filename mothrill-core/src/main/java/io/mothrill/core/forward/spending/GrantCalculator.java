package io.mothrill.core.forward.spending;

/** Works out the next grant of one team for this instance from what the table shows. */
final class GrantCalculator {

  /** What is near covers this much of the demand: the time from one renewal to the next. */
  private static final double MIN_IMMEDIATE_S = 1.0;

  /** Requests of the usual size that fit into what is near, so that few need a renewal. */
  private static final double MIN_IMMEDIATE_REQUESTS = 1;

  /**
   * What may be near in a large fleet of a budget that has much left, in seconds of the demand:
   * demand comes in bursts, and the next row takes half a second and more where many instances
   * renew theirs. In a small fleet it takes some hundredths of a second.
   */
  private static final double MAX_IMMEDIATE_S = 3;

  /** The same in requests of the usual size: a long prompt costs several of them. */
  private static final double MAX_IMMEDIATE_REQUESTS = 3;

  /**
   * Part of what a team has left that all its holders together may have near: what a loss of power
   * of all instances costs it at the most, beside one usual request for each holder.
   */
  private static final double MAX_IMMEDIATE_SHARE = 0.04;

  /**
   * Usual size of a request before the first one has shown it: a middling prompt with its output.
   * Were much less near, an instance that no caller of the team has met yet could not serve the
   * first one while the store is away; with 16,000, each loss of power of all instances costs more
   * than that saves.
   */
  private static final long DEFAULT_TYPICAL_TOKENS = 6_000;

  /**
   * At first the bound opens as fast as tokens are spent on average: a crash of all instances loses
   * no more than the time until their successors have begun.
   */
  private static final double SLOW_RELEASE_DEMAND_FACTOR = 1.0;

  /** In a long silence it opens faster than tokens are spent on average, for demand in bursts. */
  private static final double FAST_RELEASE_DEMAND_FACTOR = 2.0;

  /** What bursts add may open so large a part of what a team has left in a second at the most. */
  private static final double MAX_FAST_RELEASE_SHARE_PER_S = 0.05;

  /** So much of it opens in any case, for a team that had no demand before the silence. */
  private static final double MIN_FAST_RELEASE_SHARE_PER_S = 0.005;

  /**
   * The bound opens by this many usual requests in a second at least, for teams that ask seldom.
   */
  private static final double SLOW_RELEASE_REQUESTS_PER_S = 0.25;

  /** A share that is off by less than this part is left as it is, to save conflicts. */
  private static final double TOLERANCE = 0.2;

  private static final long TOLERANCE_TOKENS = 2_000;

  /** A holding that is less than this part of its share does not wait for its turn. */
  private static final double MIN_HELD_FRACTION = 0.3;

  /** A holding of so many usual requests waits in any case: a larger request asks for itself. */
  private static final long SUFFICIENT_REQUESTS = 2;

  /** With so many others an equal share of a budget is of the size of a few requests. */
  static final int LARGE_FLEET_INSTANCES = 20;

  private final SharePolicy policy;

  GrantCalculator(SharePolicy policy) {
    this.policy = policy;
  }

  /**
   * What the table and this instance show about a team.
   *
   * @param prepaidTokens all that the team may ever spend
   * @param grantedTokens the sum of all instances' limits
   * @param ownLimitTokens this instance's limit in the table
   * @param peersSpentTokens what the other instances that renew their rows have spent by now
   * @param peersDemandTokensPerS how fast they spend at their peaks
   * @param peerCount how many they are
   * @param inactiveLimitTokens the limits of those that do not renew theirs
   * @param demandTokensPerS how fast this instance spends at its peaks
   * @param averageTokensPerS how fast it spends on average
   * @param typicalTokens the usual size of a request
   * @param wantedTokens what requests are waiting for; 0 when none is
   * @param holder true when this instance has the team's tokens ready for its failure domain
   * @param holderCount how many instances do so for a domain each
   * @param mayRebalance true when the holding may follow small changes of its share
   * @param returningAll true when nothing is to be held any more
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

    /** The usual size of a request, or a guess before the first one. */
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

  /** Shapes a grant; without {@code mayChange} the limit stays as it is in the table. */
  SpendingGrant calculate(TeamState state, long spentTokens, boolean mayChange) {
    if (!mayChange) {
      return calculate(state, spentTokens, held(state, spentTokens));
    }
    if (state.returningAll()) {
      return new SpendingGrant(spentTokens, spentTokens, 0, 0, 0, 0);
    }
    return calculate(state, spentTokens, holding(state, spentTokens));
  }

  private static SpendingGrant calculate(TeamState state, long spentTokens, long held) {
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
        spentTokens + held,
        Math.min(held, wantedImmediate),
        Math.round(slowRelease),
        Math.round(Math.max(slowRelease, fastRelease)),
        state.demandTokensPerS());
  }

  /**
   * Gives how fast the bound opens in a long silence.
   *
   * <p>What has opened counts as spent if the process ends before the store is back, so no more
   * opens than is likely to be used, also where demand has just fallen.
   */
  private static double fastReleaseTokensPerS(TeamState state, long spentTokens) {
    double average = state.averageTokensPerS();
    double share = (double) state.remainingTokens(spentTokens) / state.holderCount();
    double withBursts =
        Math.min(FAST_RELEASE_DEMAND_FACTOR * average, MAX_FAST_RELEASE_SHARE_PER_S * share);
    return Math.max(average, withBursts) + MIN_FAST_RELEASE_SHARE_PER_S * share;
  }

  /**
   * Gives what a holder has near.
   *
   * <p>Failure: all instances lose power, and what is near counts as spent though it was not.
   * Symptom: a team that has little left is refused though it has paid. Failure the other way: what
   * is near is less than the next request. Symptom: the request waits for a row and its answer is
   * late. So much is near while much is left, and the least that serves while little is.
   */
  private static long immediateTokens(TeamState state, long spentTokens) {
    long typical = state.typicalOrDefaultTokens();
    double average = state.averageTokensPerS();
    double least = Math.max(MIN_IMMEDIATE_S * average, MIN_IMMEDIATE_REQUESTS * typical);
    if (!state.isLargeFleet()) {
      return Math.round(least);
    }
    double ample = Math.max(MAX_IMMEDIATE_S * average, MAX_IMMEDIATE_REQUESTS * typical);
    double affordable =
        MAX_IMMEDIATE_SHARE * state.remainingTokens(spentTokens) / state.holderCount();
    return Math.round(Math.max(least, Math.min(ample, affordable)));
  }

  private long holding(TeamState state, long spentTokens) {
    long held = held(state, spentTokens);
    long most = held + state.unassignedTokens();
    long target = target(state, spentTokens);
    if (state.wantedTokens() > held) {
      return Math.min(most, Math.max(target, state.wantedTokens()));
    }
    return mayKeep(state, held, target) ? held : Math.min(most, target);
  }

  /**
   * Says whether a holding is kept though its share is another.
   *
   * <p>Failure: many instances follow every change of their shares at the same time. Symptom: they
   * change the same rows, nearly all their writes conflict, and no row is renewed. Small changes
   * are followed in turn, of which instances have fewer the more of them there are.
   */
  private static boolean mayKeep(TeamState state, long held, long target) {
    if (state.isOverGranted() || target == 0) {
      return false;
    }
    boolean close = Math.abs(target - held) <= TOLERANCE * held + TOLERANCE_TOKENS;
    boolean enough =
        held >= MIN_HELD_FRACTION * target
            || held >= SUFFICIENT_REQUESTS * state.typicalOrDefaultTokens();
    return close || (enough && !state.mayRebalance());
  }

  private static long held(TeamState state, long spentTokens) {
    return Math.max(0, state.ownLimitTokens() - spentTokens);
  }

  /**
   * Gives the share to hold. In a large fleet only the holders have one: split among all, it would
   * be pieces smaller than a request. In a small one the others hold some too, which opens only in
   * a long silence, for when their holder is lost as well.
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
