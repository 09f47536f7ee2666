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
  void spendingNeverPassesTheBudget(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
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
    SpendingSimulation world = new SpendingSimulation(TOKENS_EACH * ids.size(), seed);
    ids.forEach(world::start);
    world.timers.advanceMs(3_000);
    for (int step = 0; step < steps; step++) {
      act(world, ids.get(choices.nextInt(ids.size())), choices);
      assertWithMessage("seed %s, step %s", seed, step)
          .that(world.spentTokens())
          .isAtMost(world.prepaidTokens());
    }
  }

  private static void act(SpendingSimulation world, String id, Random choices) {
    SpendingSimulation.SimulatedInstance member = world.member(id);
    switch (choices.nextInt(20)) {
      case 0 -> member.cutFromTable = !member.cutFromTable;
      case 1 -> member.cutFromPeers = !member.cutFromPeers;
      case 2 -> member.answersLost = !member.answersLost;
      case 3 -> member.writesLate = !member.writesLate;
      case 4 -> restart(world, id, choices);
      case 5 -> world.timers.advanceMs(choices.nextInt(8_000));
      case 6 -> topUpSeldom(world, choices);
      case 7, 8, 9 -> member.settleOne(choices.nextInt(LARGEST_TOKENS));
      case 10, 11, 12 -> world.timers.advanceMs(choices.nextInt(400));
      default -> member.tryReserve(1 + choices.nextInt(LARGEST_TOKENS));
    }
  }

  private static void restart(SpendingSimulation world, String id, Random choices) {
    world.member(id).kill();
    world.timers.advanceMs(choices.nextInt(2_500));
    world.start(id);
  }

  private static void topUpSeldom(SpendingSimulation world, Random choices) {
    if (choices.nextInt(10) == 0) {
      world.topUp(20_000);
    }
  }
}
