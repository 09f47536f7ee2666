package io.mothrill.lab.explore;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Random interleavings of calls and faults do not violate the invariants.
 *
 * <p>A failure names the seed; {@code mothrill lab explore --from SEED --count 1 --log} replays it.
 */
class ExplorationPropertyTest {

  private static final int STEPS = 200;

  // Callers receive the complete answer to their own call, or a refusal that reports correctly
  // whether the call was run, while domains are partitioned, instances are suspended, engines fail
  // and the platform loses answers.
  @Property(tries = 25, seed = "4711")
  void billsAndAnswersAreCorrectWithoutInstanceCrashes(
      @ForAll @LongRange(min = 1, max = 100_000) long seed) {
    check(seed, FaultMix.WITHOUT_DEATHS);
  }

  // In addition, instances crash at any step of a request and are replaced at the same address.
  @Property(tries = 25, seed = "4712")
  void nothingIsOverspentOrBilledOrRunTwiceWithInstanceCrashes(
      @ForAll @LongRange(min = 1, max = 100_000) long seed) {
    check(seed, FaultMix.WITH_DEATHS);
  }

  private static void check(long seed, FaultMix mix) {
    List<String> violations = new Exploration(seed, mix).run(STEPS);
    assertWithMessage("seed %s with %s", seed, mix).that(violations).isEmpty();
  }
}
