package io.mothrill.core.forward.crash;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Guards against instances that do not learn of a quarantine: a request crashes upstreams through
// three different instances, and a fourth that does not know of it would crash another one. All
// reachable instances must know within the time that an instance may take to be reachable again,
// whatever messages are lost.
class CrashGossipTest {

  /** An instance counts as reachable once its network has been stable for this time. */
  private static final long IN_TOUCH_MS = 3_000;

  private static final int SEEDS = 20;

  /** The time at which each instance knew, measured from the third crash. */
  private static List<Long> spread(CrashSimulation world, int instanceCount) {
    for (int third = 0; third < 3; third++) {
      world.crash(third % instanceCount, third);
      world.timers.advanceMs(500);
    }
    world.timers.advanceMs(0);
    List<Long> knownMs = new ArrayList<>();
    for (long sinceMs = 0; sinceMs <= IN_TOUCH_MS; sinceMs += 10) {
      while (knownMs.size() < world.refusingCount()) {
        knownMs.add(sinceMs);
      }
      world.timers.advanceMs(10);
    }
    return knownMs;
  }

  @ParameterizedTest
  @CsvSource({"8, 0.0", "8, 0.3", "95, 0.0", "95, 0.3", "300, 0.3", "600, 0.1"})
  void allInstancesKnowInTime(int instanceCount, double lossShare) {
    for (int seed = 0; seed < SEEDS; seed++) {
      CrashSimulation world = new CrashSimulation(instanceCount, lossShare, seed);
      world.timers.advanceMs(2_000);

      List<Long> knownMs = spread(world, instanceCount);

      assertWithMessage("seed %s", seed).that(knownMs).hasSize(instanceCount);
    }
  }

  // An instance is partitioned while the others learn of the crashes, and learns of them once it is
  // reconnected.
  @Test
  void instanceThatWasCutOffHearsOfIt() {
    for (int seed = 0; seed < SEEDS; seed++) {
      CrashSimulation world = new CrashSimulation(95, 0.1, seed);
      world.timers.advanceMs(2_000);
      world.cutOff(50);
      spread(world, 95);
      assertThat(world.refuses(50)).isFalse();

      world.heal();
      world.timers.advanceMs(IN_TOUCH_MS);

      assertWithMessage("seed %s", seed).that(world.refuses(50)).isTrue();
    }
  }

  // A third of the fleet is replaced at the same moment; the new processes know nothing and request
  // the records.
  @Test
  void newProcessesAsk() {
    for (int seed = 0; seed < SEEDS; seed++) {
      CrashSimulation world = new CrashSimulation(95, 0.1, seed);
      world.timers.advanceMs(2_000);
      spread(world, 95);
      for (int number = 0; number < 95; number += 3) {
        world.start(CrashSimulation.instance(number));
      }

      world.timers.advanceMs(IN_TOUCH_MS);

      assertWithMessage("seed %s", seed).that(world.refusingCount()).isEqualTo(95);
    }
  }

  @Test
  void sendsNothingOnCalmDay() {
    CrashSimulation world = new CrashSimulation(95, 0, 1);
    world.timers.advanceMs(2_000);
    world.datagramCount = 0;

    world.timers.advanceMs(60_000);

    assertThat(world.datagramCount).isEqualTo(0);
  }

  // A failure domain loses power, which ends hundreds of requests of many instances once each. They
  // are broadcast within limits and not repeated.
  @Test
  void tellsOfManyBystandersWithinBounds() {
    CrashSimulation world = new CrashSimulation(95, 0, 1);
    world.timers.advanceMs(2_000);
    world.datagramCount = 0;
    for (int request = 0; request < 500; request++) {
      world
          .guard(request % 95)
          .onConnectionLost(new Fingerprint(1, request), CrashSimulation.upstream(request % 12));
    }

    world.timers.advanceMs(10_000);

    assertThat(world.datagramCount).isAtMost(95 * 94);
    assertThat(world.guard(7).counts().suspects()).isEqualTo(500);
    assertThat(world.guard(7).counts().quarantined()).isEqualTo(0);
  }
}
