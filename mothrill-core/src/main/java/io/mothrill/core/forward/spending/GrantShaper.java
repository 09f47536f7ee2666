package io.mothrill.core.forward.spending;

import java.util.List;

/** Works out the next grant of one team for this instance from what the table shows. */
final class GrantShaper {

  /** What is near covers this much of the demand: the time until the bound begins to open. */
  private static final double NEAR_S = 1.6;

  /** Requests of the usual size that fit into what is near, so that few need a renewal. */
  private static final double NEAR_REQUESTS = 1;

  /** Part of the holding that is near before the first request has shown a usual size. */
  private static final int FIRST_NEAR_DIVISOR = 20;

  /**
   * At first the bound opens a little faster than tokens are spent on average: a crash of all
   * instances loses no more than the time until their successors are there.
   */
  private static final double OPEN_BY_DEMAND = 1.4;

  /** In a long silence it opens faster, as demand grows in bursts. */
  private static final double LATER_BY_DEMAND = 2.5;

  /**
   * The bound opens by this many usual requests in a second at least, for teams that ask seldom.
   */
  private static final double OPEN_REQUESTS_PER_S = 0.4;

  /** In a long silence all that is held opens within this time at the latest. */
  private static final double OPEN_WITHIN_S = 15;

  /** A share that is off by less than this part is left as it is, to save conflicts. */
  private static final double TOLERANCE = 0.2;

  private static final long TOLERANCE_TOKENS = 2_000;

  private final SharePolicy policy;

  GrantShaper(SharePolicy policy) {
    this.policy = policy;
  }

  /**
   * What the table and this instance show about a team.
   *
   * @param prepaidTokens all that the team may ever spend
   * @param grantedTokens the sum of all instances' limits
   * @param ownLimitTokens this instance's limit in the table
   * @param inTouch the grants of the other instances that renew theirs
   * @param silent the grants of those that do not
   * @param demandTokensPerS how fast this instance spends at its peaks
   * @param averageTokensPerS how fast it spends on average
   * @param typicalTokens the usual size of a request
   * @param wantedTokens what requests are waiting for; 0 when none is
   * @param leaving true when nothing is to be held any more
   */
  record Situation(
      long prepaidTokens,
      long grantedTokens,
      long ownLimitTokens,
      List<SpendingGrant> inTouch,
      List<SpendingGrant> silent,
      long demandTokensPerS,
      long averageTokensPerS,
      long typicalTokens,
      long wantedTokens,
      boolean leaving) {

    long freeTokens() {
      return Math.max(0, prepaidTokens - grantedTokens);
    }

    long leftTokens(long ownSpentTokens) {
      long others = inTouch.stream().mapToLong(SpendingGrant::spentTokens).sum();
      long outOfReach = silent.stream().mapToLong(SpendingGrant::limitTokens).sum();
      return Math.max(0, prepaidTokens - others - outOfReach - ownSpentTokens);
    }

    long allDemandTokensPerS() {
      long others = inTouch.stream().mapToLong(SpendingGrant::demandTokensPerS).sum();
      return others + demandTokensPerS;
    }
  }

  /** Shapes a grant; without {@code mayChange} the limit stays as it is in the table. */
  SpendingGrant shape(Situation situation, long spentTokens, boolean mayChange) {
    if (!mayChange) {
      return shape(situation, spentTokens, held(situation, spentTokens));
    }
    if (situation.leaving()) {
      return new SpendingGrant(spentTokens, spentTokens, 0, 0, 0, 0);
    }
    return shape(situation, spentTokens, holding(situation, spentTokens));
  }

  private static SpendingGrant shape(Situation situation, long spentTokens, long holding) {
    double usualNear =
        situation.typicalTokens() == 0
            ? holding / (double) FIRST_NEAR_DIVISOR
            : Math.max(
                NEAR_S * situation.averageTokensPerS(), NEAR_REQUESTS * situation.typicalTokens());
    long wantedNear = Math.round(usualNear) + situation.wantedTokens();
    double demand = situation.demandTokensPerS();
    double open =
        Math.max(
            OPEN_REQUESTS_PER_S * situation.typicalTokens(),
            OPEN_BY_DEMAND * situation.averageTokensPerS());
    double later = Math.max(LATER_BY_DEMAND * demand, holding / OPEN_WITHIN_S);
    return new SpendingGrant(
        spentTokens,
        spentTokens + holding,
        Math.min(holding, wantedNear),
        Math.round(open),
        Math.round(Math.max(open, later)),
        situation.demandTokensPerS());
  }

  private long holding(Situation situation, long spentTokens) {
    long held = held(situation, spentTokens);
    long most = held + situation.freeTokens();
    long target = target(situation, spentTokens);
    if (situation.wantedTokens() > Math.max(held, target)) {
      return Math.min(most, situation.wantedTokens());
    }
    boolean close = Math.abs(target - held) <= TOLERANCE * held + TOLERANCE_TOKENS;
    if (close && situation.grantedTokens() <= situation.prepaidTokens()) {
      return held;
    }
    return Math.min(most, target);
  }

  private static long held(Situation situation, long spentTokens) {
    return Math.max(0, situation.ownLimitTokens() - spentTokens);
  }

  private long target(Situation situation, long spentTokens) {
    return policy.holdingTokens(
        new SharePolicy.Situation(
            situation.leftTokens(spentTokens),
            situation.demandTokensPerS(),
            situation.allDemandTokensPerS(),
            situation.inTouch().size() + 1));
  }
}
