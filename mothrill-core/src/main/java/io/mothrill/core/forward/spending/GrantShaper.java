package io.mothrill.core.forward.spending;

/** Works out the next grant of one team for this instance from what the table shows. */
final class GrantShaper {

  /** What is near covers this much of the demand: the time from one renewal to the next. */
  private static final double NEAR_S = 1.0;

  /** Requests of the usual size that fit into what is near, so that few need a renewal. */
  private static final double NEAR_REQUESTS = 1;

  /**
   * What may be near in a large fleet of a budget that has much left, in seconds of the demand:
   * demand comes in bursts, and the next row takes half a second and more where many instances
   * renew theirs. In a small fleet it takes some hundredths of a second.
   */
  private static final double AMPLE_NEAR_S = 3;

  /** The same in requests of the usual size: a long prompt costs several of them. */
  private static final double AMPLE_NEAR_REQUESTS = 3;

  /**
   * Part of what a team has left that all its holders together may have near: what a loss of power
   * of all instances costs it at the most, beside one usual request for each holder.
   */
  private static final double AMPLE_SHARE_OF_LEFT = 0.04;

  /**
   * Usual size of a request before the first one has shown it: a middling prompt with its output.
   * Were much less near, an instance that no caller of the team has met yet could not serve the
   * first one while the store is away; with 16,000, each loss of power of all instances costs more
   * than that saves.
   */
  private static final long FIRST_TYPICAL_TOKENS = 6_000;

  /**
   * At first the bound opens as fast as tokens are spent on average: a crash of all instances loses
   * no more than the time until their successors have begun.
   */
  private static final double OPEN_BY_DEMAND = 1.0;

  /** In a long silence it opens faster than tokens are spent on average, for demand in bursts. */
  private static final double LATER_BY_DEMAND = 2.0;

  /** What bursts add may open so large a part of what a team has left in a second at the most. */
  private static final double MOST_LATER_SHARE_PER_S = 0.05;

  /** So much of it opens in any case, for a team that had no demand before the silence. */
  private static final double LEAST_LATER_SHARE_PER_S = 0.005;

  /**
   * The bound opens by this many usual requests in a second at least, for teams that ask seldom.
   */
  private static final double OPEN_REQUESTS_PER_S = 0.25;

  /** A share that is off by less than this part is left as it is, to save conflicts. */
  private static final double TOLERANCE = 0.2;

  private static final long TOLERANCE_TOKENS = 2_000;

  /** A holding that is less than this part of its share does not wait for its turn. */
  private static final double TOO_LITTLE = 0.3;

  /** A holding of so many usual requests waits in any case: a larger request asks for itself. */
  private static final long ENOUGH_REQUESTS = 2;

  /** With so many others an equal share of a budget is of the size of a few requests. */
  static final int MANY_INSTANCES = 20;

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
   * @param othersSpentTokens what the other instances that renew their rows have spent by now
   * @param othersDemandTokensPerS how fast they spend at their peaks
   * @param othersCount how many they are
   * @param silentLimitTokens the limits of those that do not renew theirs
   * @param demandTokensPerS how fast this instance spends at its peaks
   * @param averageTokensPerS how fast it spends on average
   * @param typicalTokens the usual size of a request
   * @param wantedTokens what requests are waiting for; 0 when none is
   * @param holder true when this instance has the team's tokens ready for its failure domain
   * @param holderCount how many instances do so for a domain each
   * @param inTurn true when the holding may follow small changes of its share
   * @param leaving true when nothing is to be held any more
   */
  record Situation(
      long prepaidTokens,
      long grantedTokens,
      long ownLimitTokens,
      long othersSpentTokens,
      long othersDemandTokensPerS,
      int othersCount,
      long silentLimitTokens,
      long demandTokensPerS,
      long averageTokensPerS,
      long typicalTokens,
      long wantedTokens,
      boolean holder,
      int holderCount,
      boolean inTurn,
      boolean leaving) {

    long freeTokens() {
      return Math.max(0, prepaidTokens - grantedTokens);
    }

    long leftTokens(long ownSpentTokens) {
      return Math.max(0, prepaidTokens - othersSpentTokens - silentLimitTokens - ownSpentTokens);
    }

    long allDemandTokensPerS() {
      return othersDemandTokensPerS + demandTokensPerS;
    }

    /** The usual size of a request, or a guess before the first one. */
    long usualTokens() {
      return typicalTokens == 0 ? FIRST_TYPICAL_TOKENS : typicalTokens;
    }

    boolean isOfLargeFleet() {
      return othersCount >= MANY_INSTANCES;
    }

    boolean isOvergranted() {
      return grantedTokens > prepaidTokens;
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
    long typical = situation.usualTokens();
    long ready = situation.holder() ? readyTokens(situation, spentTokens) : 0;
    long wantedNear = ready + situation.wantedTokens();
    double usualOpen =
        Math.max(OPEN_REQUESTS_PER_S * typical, OPEN_BY_DEMAND * situation.averageTokensPerS());
    double open = situation.holder() ? usualOpen : 0;
    double later = laterTokensPerS(situation, spentTokens);
    return new SpendingGrant(
        spentTokens,
        spentTokens + holding,
        Math.min(holding, wantedNear),
        Math.round(open),
        Math.round(Math.max(open, later)),
        situation.demandTokensPerS());
  }

  /**
   * Gives how fast the bound opens in a long silence.
   *
   * <p>What has opened counts as spent if the process ends before the store is back, so no more
   * opens than is likely to be used, also where demand has just fallen.
   */
  private static double laterTokensPerS(Situation situation, long spentTokens) {
    double average = situation.averageTokensPerS();
    double share = (double) situation.leftTokens(spentTokens) / situation.holderCount();
    double withBursts = Math.min(LATER_BY_DEMAND * average, MOST_LATER_SHARE_PER_S * share);
    return Math.max(average, withBursts) + LEAST_LATER_SHARE_PER_S * share;
  }

  /**
   * Gives what a holder has near.
   *
   * <p>Failure: all instances lose power, and what is near counts as spent though it was not.
   * Symptom: a team that has little left is refused though it has paid. Failure the other way: what
   * is near is less than the next request. Symptom: the request waits for a row and its answer is
   * late. So much is near while much is left, and the least that serves while little is.
   */
  private static long readyTokens(Situation situation, long spentTokens) {
    long typical = situation.usualTokens();
    double average = situation.averageTokensPerS();
    double least = Math.max(NEAR_S * average, NEAR_REQUESTS * typical);
    if (!situation.isOfLargeFleet()) {
      return Math.round(least);
    }
    double ample = Math.max(AMPLE_NEAR_S * average, AMPLE_NEAR_REQUESTS * typical);
    double bearable =
        AMPLE_SHARE_OF_LEFT * situation.leftTokens(spentTokens) / situation.holderCount();
    return Math.round(Math.max(least, Math.min(ample, bearable)));
  }

  private long holding(Situation situation, long spentTokens) {
    long held = held(situation, spentTokens);
    long most = held + situation.freeTokens();
    long target = target(situation, spentTokens);
    if (situation.wantedTokens() > held) {
      return Math.min(most, Math.max(target, situation.wantedTokens()));
    }
    return mayStay(situation, held, target) ? held : Math.min(most, target);
  }

  /**
   * Says whether a holding is kept though its share is another.
   *
   * <p>Failure: many instances follow every change of their shares at the same time. Symptom: they
   * change the same rows, nearly all their writes conflict, and no row is renewed. Small changes
   * are followed in turn, of which instances have fewer the more of them there are.
   */
  private static boolean mayStay(Situation situation, long held, long target) {
    if (situation.isOvergranted() || target == 0) {
      return false;
    }
    boolean close = Math.abs(target - held) <= TOLERANCE * held + TOLERANCE_TOKENS;
    boolean enough =
        held >= TOO_LITTLE * target || held >= ENOUGH_REQUESTS * situation.usualTokens();
    return close || (enough && !situation.inTurn());
  }

  private static long held(Situation situation, long spentTokens) {
    return Math.max(0, situation.ownLimitTokens() - spentTokens);
  }

  /**
   * Gives the share to hold. In a large fleet only the holders have one: split among all, it would
   * be pieces smaller than a request. In a small one the others hold some too, which opens only in
   * a long silence, for when their holder is lost as well.
   */
  private long target(Situation situation, long spentTokens) {
    if (situation.isOfLargeFleet() && !situation.holder()) {
      return 0;
    }
    return policy.holdingTokens(
        new SharePolicy.Situation(
            situation.leftTokens(spentTokens),
            situation.demandTokensPerS(),
            situation.allDemandTokensPerS(),
            situation.isOfLargeFleet() ? situation.holderCount() : situation.othersCount() + 1,
            situation.usualTokens()));
  }
}
