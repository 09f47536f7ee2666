package io.mothrill.core.forward.limit;

import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.fake.ManualTimers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

// Guards against instances that each enforce a limit, or a part of it, and together exceed it while
// they are partitioned, killed, restarted and added, and reports between them are late or lost.
class AnnouncedRateLimitPropertyTest {

  private static final long STEP_MS = 250;
  private static final int STEPS = 240;
  private static final long WINDOW_MS = 4_000;

  /** After this time an instance that has reported an answer enforces the limit. */
  private static final long APPLIED_AFTER_MS = 500;

  /** A limit allows a few requests per window, however low it is. */
  private static final double MIN_WINDOW_REQUESTS = 4;

  private static final double[] LIMITS_PER_S = {0, 0.2, 1, 1.4, 3, 20, 500};

  @Property(tries = 200, seed = "41001")
  void eightInstancesKeepTheLimit(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    simulate(seed, 8);
  }

  @Property(tries = 100, seed = "41002")
  void sixtyInstancesKeepTheLimit(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    simulate(seed, 62);
  }

  private static void simulate(long seed, int count) {
    Random random = new Random(seed);
    ManualTimers timers = new ManualTimers();
    RateLimitSimulation simulation = new RateLimitSimulation(timers, random, count);
    Deque<Long> sentMs = new ArrayDeque<>();
    double limitPerS = Double.MAX_VALUE;
    for (int step = 0; step < STEPS; step++) {
      injectFault(simulation, random, count);
      if (random.nextInt(40) == 0) {
        limitPerS = next(simulation, random);
        sentMs.clear();
      }
      simulation.instances().stream()
          .filter(instance -> random.nextInt(1 + count / 6) == 0)
          .forEach(instance -> instance.member().read());
      sendAll(simulation, limitPerS, timers.nowMs(), sentMs);
      timers.advanceMs(STEP_MS);
    }
  }

  private static double next(RateLimitSimulation simulation, Random random) {
    int choice = random.nextInt(LIMITS_PER_S.length + 1);
    if (choice == LIMITS_PER_S.length) {
      simulation.announce(OptionalDouble.empty());
      return Double.MAX_VALUE;
    }
    simulation.announce(OptionalDouble.of(LIMITS_PER_S[choice]));
    return LIMITS_PER_S[choice];
  }

  private static void injectFault(RateLimitSimulation simulation, Random random, int count) {
    List<RateLimitSimulation.Instance> instances = simulation.instances();
    RateLimitSimulation.Instance one = instances.get(random.nextInt(instances.size()));
    String id = one.member().self().id();
    switch (random.nextInt(12)) {
      case 0 -> one.member().partition();
      case 1, 2, 3 -> one.member().reconnect();
      case 4 -> simulation.start(id, domainOf(one));
      case 5 -> {
        if (instances.size() > count / 2) {
          simulation.stop(id);
        }
      }
      case 6 -> simulation.start("edge-" + random.nextInt(2 * count), random.nextInt(4));
      default -> {}
    }
  }

  private static int domainOf(RateLimitSimulation.Instance instance) {
    String domain = instance.member().self().domain();
    return Integer.parseInt(domain.substring(domain.indexOf('-') + 1));
  }

  private static void sendAll(
      RateLimitSimulation simulation, double limitPerS, long nowMs, Deque<Long> sentMs) {
    while (!sentMs.isEmpty() && nowMs - sentMs.peekFirst() >= WINDOW_MS) {
      sentMs.pollFirst();
    }
    for (RateLimitSimulation.Instance instance : simulation.instances()) {
      boolean applied = instance.receivedAgoMs() >= APPLIED_AFTER_MS;
      int sent = instance.send();
      if (applied) {
        for (int number = 0; number < sent; number++) {
          sentMs.addLast(nowMs);
        }
      }
    }
    assertWithMessage("sent in a span by %s, limit %s", nowMs, limitPerS)
        .that((double) sentMs.size())
        .isAtMost(Math.max(MIN_WINDOW_REQUESTS, limitPerS * WINDOW_MS / 1_000));
  }
}
