package io.mothrill.core.forward.admission;

/** What one team uses of a service at this instance, and what it was refused. */
final class TeamUse {

  /** Below this, a team without requests in flight is forgotten. */
  private static final double NEGLIGIBLE = 0.001;

  private final InFlightAverage inFlight = new InFlightAverage();
  private final DecayingSum refusals = new DecayingSum();

  void onStarted(long nowMs) {
    inFlight.add(1, nowMs);
  }

  void onEnded(long nowMs) {
    inFlight.add(-1, nowMs);
  }

  void onRefused(long nowMs) {
    refusals.add(1, nowMs);
  }

  /** Returns the number of refusals recently. */
  double refusalsAt(long nowMs) {
    return refusals.at(nowMs);
  }

  /**
   * Estimates how many requests would be in flight if none were refused.
   *
   * @param holdMs how long a request is in flight on average
   */
  double demand(double holdMs, long nowMs) {
    return inFlight.averageAt(nowMs) + refusals.at(nowMs) * holdMs / DecayingSum.TIME_CONSTANT_MS;
  }

  /**
   * Checks whether the team may start one more request with this share.
   *
   * <p>The average enforces shares of less than one request. The number in flight bounds a team
   * that starts many long requests at once, which the average shows only later.
   */
  boolean isWithin(double share, long nowMs) {
    return inFlight.averageAt(nowMs) < share && inFlight.count() < share + 1;
  }

  double averageAt(long nowMs) {
    return inFlight.averageAt(nowMs);
  }

  boolean isIdle(long nowMs) {
    return inFlight.count() == 0
        && inFlight.averageAt(nowMs) < NEGLIGIBLE
        && refusals.at(nowMs) < NEGLIGIBLE;
  }
}
