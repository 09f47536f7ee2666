package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Two instances serve a hundred teams, more than one transaction of the table can change.
 *
 * <p>A request needs more than the immediate tokens while shares change in rotation. A transaction
 * has a hundred entries, and each team takes two of them.
 */
class SpendingOfHundredTeamsTest {

  private static final int TEAMS = 100;
  private static final long PREPAID_TOKENS = 400_000;
  private static final long REQUEST_TOKENS = 60_000;
  private static final long SETTLED_MS = 10_000;

  /** The time of two renewals, each with a read and a write of some milliseconds. */
  private static final long SOON_MS = 150;

  private final List<String> teams =
      IntStream.range(0, TEAMS).mapToObj(number -> "team-" + number).toList();
  private final SpendingSimulation simulation = new SpendingSimulation(PREPAID_TOKENS, 11, teams);

  // Guards against requests that wait for the rotation: the holder of each team requests more than
  // its immediate tokens, and must get them with the next row, whichever team it is.
  @Test
  void requestOfAnyTeamGetsTokensFromTheNextRow() {
    SpendingSimulation.SimulatedInstance first = simulation.start("konya-1");
    simulation.start("kayseri-1");
    simulation.timers.advanceMs(SETTLED_MS);

    for (String team : teams) {
      CompletableFuture<SpendingReservation> reserved = first.reserve(team, REQUEST_TOKENS);
      simulation.timers.advanceMs(SOON_MS);

      assertWithMessage(team).that(reserved.isDone()).isTrue();
      assertWithMessage(team).that(reserved.isCompletedExceptionally()).isFalse();
      simulation.timers.advanceMs(SOON_MS);
    }
  }
}
