package io.mothrill.core.forward.lease;

/**
 * What one instance may grant at an upstream.
 *
 * <p>An upstream bears its places and its rejections. Most of that is granted by its coordinator.
 * The rest is for instances with another view of the fleet: one that still believes to be the
 * coordinator, and one that substitutes for it. All together stay within what the upstream bears.
 *
 * @param requests the number of requests that are running or were turned away within a second
 * @param rejections the number of requests while it is not known whether the upstream has room
 */
record LeaseShare(int requests, int rejections) {

  /** Number of instances that may grant leases beside the coordinator at the same time. */
  private static final int RESERVES = 2;

  private static final LeaseShare RESERVE = new LeaseShare(1, 1);
  private static final LeaseShare NONE = new LeaseShare(0, 0);

  /** The share of the coordinator. */
  static LeaseShare ofCoordinator(int slots, int maxPerS) {
    int reserved = RESERVES * ofReserve(maxPerS).rejections();
    return new LeaseShare(slots + maxPerS - reserved, maxPerS - reserved);
  }

  /** The share of an instance that may not be the only one to grant leases. */
  static LeaseShare ofReserve(int maxPerS) {
    return maxPerS > RESERVES ? RESERVE : NONE;
  }
}
