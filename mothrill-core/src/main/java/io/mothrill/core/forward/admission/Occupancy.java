package io.mothrill.core.forward.admission;

/**
 * How much of a service is known to be in use.
 *
 * @param slots the slots of all its upstreams
 * @param taken the slots known to be taken; all slots of an upstream with queued requests
 * @param queued the number of requests known to be queued at its upstreams
 */
public record Occupancy(double slots, double taken, double queued) {

  /**
   * With fewer free slots than this share, a request probably has to queue at the upstream that it
   * is sent to.
   */
  private static final double FULL_FREE_SHARE = 0.1;

  /**
   * A single upstream of four that turns everything away does not look like a full service up to
   * two thirds of the slots of the others.
   */
  private static final double CROWDED_SHARE = 0.75;

  /** Below this share of taken slots, rejections have a cause other than too much demand. */
  private static final double BUSY_SHARE = 0.5;

  /**
   * Checks whether the service is so busy that requests may be refused.
   *
   * @return true if at least half of its slots are known to be taken
   */
  public boolean isBusy() {
    return slots > 0 && taken >= BUSY_SHARE * slots;
  }

  /**
   * Checks whether so few slots are free that upstreams turn requests away for lack of them.
   *
   * @return true if at least three quarters of the slots are known to be taken
   */
  public boolean isCrowded() {
    return slots > 0 && taken >= CROWDED_SHARE * slots;
  }

  /**
   * Checks whether load reports show that the service is full.
   *
   * @return true if less than a tenth of its slots are free
   */
  public boolean isFull() {
    return slots > 0 && slots - taken < FULL_FREE_SHARE * slots;
  }

  /**
   * Returns the share of the requests at the upstreams that are queued.
   *
   * @return a number from 0 to 1
   */
  public double queuedShare() {
    return queued <= 0 ? 0 : queued / (taken + queued);
  }
}
