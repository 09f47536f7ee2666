package io.mothrill.core.forward.warmup;

import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

// Guards against overloading upstreams that are warming up. For a minute instances are partitioned,
// reconnected, killed, restarted and added, each reading the others at different times, while
// upstreams become cold again and again. Every instance sends as much as permitted. Whatever the
// views of the instances, together they must not exceed the capacity of an upstream in any second.
class WarmUpBoundPropertyTest {

  private static final long STEP_MS = 250;
  private static final int STEPS = 240;
  private static final long SECOND_MS = 1_000;

  @Property(tries = 300, seed = "40001")
  void eightInstancesStayWithinTheCapacity(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    simulate(seed, 8);
  }

  @Property(tries = 300, seed = "40002")
  void sixtyInstancesStayWithinTheCapacity(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    simulate(seed, 62);
  }

  @Property(tries = 30, seed = "40003")
  void hundredsOfInstancesStayWithinTheCapacity(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    simulate(seed, 300);
  }

  private static void simulate(long seed, int count) {
    Random random = new Random(seed);
    ManualTimers timers = new ManualTimers();
    WarmUpSimulation simulation = new WarmUpSimulation(timers, count);
    Deque<Long> sentMs = new ArrayDeque<>();
    RegisteredUpstream cold = simulation.makeCold(1, 3_000);
    for (int step = 0; step < STEPS; step++) {
      injectFault(simulation, random, count);
      if (random.nextInt(4) == 0) {
        cold = simulation.makeCold(1, 500 + random.nextInt(3_000));
      }
      simulation.instances().stream()
          .filter(instance -> random.nextInt(1 + count / 6) == 0)
          .forEach(WarmUpSimulation.Instance::read);
      sendAll(simulation, cold, timers.nowMs(), sentMs);
      timers.advanceMs(STEP_MS);
    }
  }

  private static void injectFault(WarmUpSimulation simulation, Random random, int count) {
    List<WarmUpSimulation.Instance> instances = simulation.instances();
    WarmUpSimulation.Instance one = instances.get(random.nextInt(instances.size()));
    switch (random.nextInt(6)) {
      case 0 -> one.cutOff();
      case 1, 2 -> one.reconnect();
      case 3 -> simulation.start(one.record().id(), domainOf(one));
      case 4 -> {
        if (instances.size() > count / 2) {
          simulation.stop(one.record().id());
        }
      }
      default -> simulation.start("edge-" + random.nextInt(2 * count), random.nextInt(4));
    }
  }

  private static int domainOf(WarmUpSimulation.Instance instance) {
    String domain = instance.record().domain();
    return Integer.parseInt(domain.substring(domain.indexOf('-') + 1));
  }

  private static void sendAll(
      WarmUpSimulation simulation, RegisteredUpstream cold, long nowMs, Deque<Long> sentMs) {
    while (!sentMs.isEmpty() && nowMs - sentMs.peekFirst() >= SECOND_MS) {
      sentMs.pollFirst();
    }
    simulation
        .instances()
        .forEach(
            instance -> {
              while (instance.isWarming(cold) && instance.permits().tryAcquire(cold)) {
                sentMs.addLast(nowMs);
              }
            });
    assertWithMessage("sent in a second by %s", nowMs)
        .that(sentMs.size())
        .isAtMost(WarmUpSimulation.MAX_REQUESTS_PER_SECOND);
  }
}
