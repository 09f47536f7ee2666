package io.mothrill.core.forward.view;

import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.forward.view.ViewFleet.Instance;
import io.mothrill.core.forward.view.ViewFleet.StoreFault;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToLongBiFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Guards against instances that handle requests by an old plan although another instance, which
// they
// reach, has the new one.
class ViewHistoriesTest {

  /** The time in which a change must be in force. */
  private static final long BOUND_MS = 4 * ViewFleet.SETTINGS.planPollMs();

  private static final long LENGTH_MS = 40_000;
  private static final long CHECK_MS = 50;
  private static final int MAX_CHANGE_PAUSE_MS = 2_500;
  private static final int MAX_FAULT_PAUSE_MS = 3_000;
  private static final int MAX_FAULT_MS = 9_000;
  private static final int MAX_SLOW_MS = 200;

  private ViewFleet fleet;
  private Random random;
  private long planVersion;

  // Store refuses, hangs, is slow or loses answers for some instances or all, the feed is silent,
  // domains and single instances are cut off, instances are slow, and notices are lost.
  @ParameterizedTest
  @CsvSource({"8, 101", "8, 102", "8, 103", "62, 201", "62, 202", "300, 301"})
  void instancesHaveThePlanInTimeThatAnInstanceInReachHas(int count, long seed) {
    random = new Random(seed);
    fleet = new ViewFleet(count, random);
    declare();
    fleet.start();
    fleet.timers.advanceMs(BOUND_MS);
    scheduleChange();
    scheduleFault();

    for (long atMs = 0; atMs < LENGTH_MS; atMs += CHECK_MS) {
      fleet.timers.advanceMs(CHECK_MS);
      check();
    }
  }

  private void declare() {
    planVersion += 1 + random.nextInt(3);
    fleet.store.declarePlan(planVersion);
    fleet.store.register("i-" + planVersion);
  }

  private void scheduleChange() {
    fleet.timers.after(
        random.nextInt(MAX_CHANGE_PAUSE_MS),
        () -> {
          declare();
          scheduleChange();
        });
  }

  private void scheduleFault() {
    fleet.timers.after(
        random.nextInt(MAX_FAULT_PAUSE_MS),
        () -> {
          startFault();
          scheduleFault();
        });
  }

  private void startFault() {
    long forMs = 500 + random.nextInt(MAX_FAULT_MS);
    switch (random.nextInt(6)) {
      case 0 -> refuse(forMs, random.nextDouble());
      case 1 -> refuse(forMs, 1 - 1.5 / fleet.instances.size());
      case 2 -> silenceFeed(forMs);
      case 3 -> cutDomain(forMs);
      case 4 -> cutInstance(forMs);
      default -> slowDown(forMs);
    }
  }

  private void refuse(long forMs, double share) {
    StoreFault[] faults = StoreFault.values();
    StoreFault fault = faults[1 + random.nextInt(faults.length - 1)];
    List<Instance> affected =
        fleet.instances.stream().filter(instance -> random.nextDouble() < share).toList();
    affected.forEach(instance -> instance.storeFault = fault);
    fleet.timers.after(
        forMs, () -> affected.forEach(instance -> instance.storeFault = StoreFault.NONE));
  }

  private void silenceFeed(long forMs) {
    fleet.store.setFaults(MemoryStore.Fault.SILENT_FEED);
    fleet.timers.after(forMs, () -> fleet.store.setFaults(MemoryStore.Fault.NONE));
  }

  private void cutDomain(long forMs) {
    int domain = random.nextInt(ViewFleet.DOMAINS);
    cut(
        forMs,
        fleet.instances.stream()
            .filter(instance -> instance.self.domain().equals("d" + domain))
            .toList());
  }

  private void cutInstance(long forMs) {
    cut(forMs, List.of(fleet.instances.get(random.nextInt(fleet.instances.size()))));
  }

  private void cut(long forMs, List<Instance> side) {
    int group = 1 + random.nextInt(1_000_000);
    side.forEach(instance -> instance.setGroup(group));
    fleet.timers.after(forMs, () -> side.forEach(instance -> instance.setGroup(0)));
  }

  private void slowDown(long forMs) {
    Instance slow = fleet.instances.get(random.nextInt(fleet.instances.size()));
    slow.slowMs = 1 + random.nextInt(MAX_SLOW_MS);
    fleet.timers.after(forMs, () -> slow.slowMs = 0);
  }

  private void check() {
    long thenMs = fleet.timers.nowMs() - BOUND_MS;
    List<Instance> settled =
        fleet.instances.stream().filter(instance -> instance.groupSinceMs <= thenMs).toList();
    checkAll(settled, Instance::versionAt);
    checkAll(settled, Instance::upstreamsAt);
  }

  /** Checks that all instances have by now what one on their side of all cuts had in time. */
  private void checkAll(List<Instance> settled, ToLongBiFunction<Instance, Long> valueAt) {
    long nowMs = fleet.timers.nowMs();
    Map<Integer, Long> newestByGroup = new HashMap<>();
    settled.forEach(
        instance ->
            newestByGroup.merge(
                instance.group, valueAt.applyAsLong(instance, nowMs - BOUND_MS), Math::max));
    settled.forEach(
        instance ->
            assertWithMessage("instance %s at %s ms", instance.self.id(), nowMs)
                .that(valueAt.applyAsLong(instance, nowMs))
                .isAtLeast(newestByGroup.get(instance.group)));
  }
}
