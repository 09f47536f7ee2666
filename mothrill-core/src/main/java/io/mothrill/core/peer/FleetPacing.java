package io.mothrill.core.peer;

import io.mothrill.core.board.PublishedValue;
import java.util.Random;

/**
 * Spreads work that every instance would do over a large fleet.
 *
 * <p>If each instance polled the platform, the load on the platform would grow with the fleet; at
 * 1,700 instances the polls alone exceed its capacity. About fifty instances poll at a time,
 * regardless of the size of the fleet. In a fleet of up to fifty instances all of them poll.
 */
public final class FleetPacing {

  private static final int TARGET_POLLERS = 50;

  private final PublishedValue<Membership> members;
  private final Random random;

  /**
   * Creates the pacing.
   *
   * @param members the current membership
   * @param random decides in a large fleet whether it is this instance's turn
   */
  public FleetPacing(PublishedValue<Membership> members, Random random) {
    this.members = members;
    this.random = random;
  }

  /**
   * Checks whether it is this instance's turn.
   *
   * @return always true in a small fleet; true with a probability of fifty divided by the size of
   *     the fleet in a large one
   */
  public boolean isTurn() {
    int fleetSize = 1 + members.read().others().size();
    return fleetSize <= TARGET_POLLERS || random.nextInt(fleetSize) < TARGET_POLLERS;
  }
}
