package io.mothrill.core.peer;

import io.mothrill.core.board.PublishedValue;
import java.util.Random;

/**
 * Spreads what every instance would do over a large fleet.
 *
 * <p>Failure: each instance polls the platform, so its load grows with the fleet. Symptom: at 1,700
 * instances the polls alone exceed what the platform takes. About fifty instances poll at a time,
 * however many there are; in a fleet of up to fifty each of them does.
 */
public final class FleetPacing {

  private static final int TARGET_POLLERS = 50;

  private final PublishedValue<Membership> members;
  private final Random random;

  /**
   * Creates the pacing.
   *
   * @param members the fleet
   * @param random chooses whose turn it is
   */
  public FleetPacing(PublishedValue<Membership> members, Random random) {
    this.members = members;
    this.random = random;
  }

  /**
   * Decides whether it is this instance's turn.
   *
   * @return true always in a small fleet, and with the fitting probability in a large one
   */
  public boolean isTurn() {
    int fleet = 1 + members.read().others().size();
    return fleet <= TARGET_POLLERS || random.nextInt(fleet) < TARGET_POLLERS;
  }
}
