package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * A team never spends more than it has prepaid, whichever faults occur in whichever order.
 *
 * <p>A failure reports the seed that reproduces it.
 */
class SpendingPropertyTest {

  private static final List<String> FEW = List.of("ankara-1", "ankara-2", "konya-1", "kayseri-1");
  private static final List<String> MANY =
      IntStream.range(0, 24).mapToObj(number -> "konya-" + number).toList();

  private static final int STEPS = 400;
  private static final long TOKENS_EACH = 50_000;
  private static final int LARGEST_TOKENS = 9_000;

  // Requests are served at all instances while these are partitioned from the table or from each
  // other, lose answers, have writes that take effect seconds later, crash and restart.
  @Property(tries = 300, seed = "20001")
  void spendingNeverExceedsTheBudget(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    spend(FEW, STEPS, seed);
  }

  // The same with so many instances that requests borrow from peers before they ask the table.
  @Property(tries = 60, seed = "20002")
  void manyInstancesNeverSpendMoreThanTheBudget(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    spend(MANY, 3 * STEPS, seed);
  }

  private static void spend(List<String> ids, int steps, long seed) {
    Random choices = new Random(seed);
    SpendingSimulation simulation = new SpendingSimulation(TOKENS_EACH * ids.size(), seed);
    ids.forEach(simulation::start);
    simulation.timers.advanceMs(3_000);
    for (int step = 0; step < steps; step++) {
      act(simulation, ids.get(choices.nextInt(ids.size())), choices);
      assertWithMessage("seed %s, step %s", seed, step)
          .that(simulation.spentTokens())
          .isAtMost(simulation.prepaidTokens());
    }
  }

  private static void act(SpendingSimulation simulation, String id, Random choices) {
    SpendingSimulation.SimulatedInstance instance = simulation.instance(id);
    switch (choices.nextInt(20)) {
      case 0 -> instance.tableUnreachable = !instance.tableUnreachable;
      case 1 -> instance.peersUnreachable = !instance.peersUnreachable;
      case 2 -> instance.answersLost = !instance.answersLost;
      case 3 -> instance.writesDelayed = !instance.writesDelayed;
      case 4 -> restart(simulation, id, choices);
      case 5 -> simulation.timers.advanceMs(choices.nextInt(8_000));
      case 6 -> topUpSeldom(simulation, choices);
      case 7, 8, 9 -> instance.settleOne(choices.nextInt(LARGEST_TOKENS));
      case 10, 11, 12 -> simulation.timers.advanceMs(choices.nextInt(400));
      default -> instance.tryReserve(1 + choices.nextInt(LARGEST_TOKENS));
    }
  }

  private static void restart(SpendingSimulation simulation, String id, Random choices) {
    simulation.instance(id).kill();
    simulation.timers.advanceMs(choices.nextInt(2_500));
    simulation.start(id);
  }

  private static void topUpSeldom(SpendingSimulation simulation, Random choices) {
    if (choices.nextInt(10) == 0) {
      simulation.topUp(20_000);
    }
  }
}
