package io.mothrill.core.forward.warmup;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.permit.SimulatedFleet;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** Instances with views of each other, and upstreams that become cold while these send requests. */
final class WarmUpSimulation {

  static final int DOMAINS = 4;
  static final int MAX_REQUESTS_PER_SECOND = 18;

  /** How long the views of eight instances are current. */
  static final long CURRENT_MS = SimulatedFleet.currentMs(8);

  private static final WarmUpPlan PLAN = new WarmUpPlan(3_000, 8.7);
  private static final WarmUpBounds BOUNDS = new WarmUpBounds(1.5, 5);

  private final ManualTimers timers;
  private final SimulatedFleet fleet;
  private final Map<String, Instance> running = new TreeMap<>();
  private final Map<Integer, Long> registrationCounts = new TreeMap<>();

  WarmUpSimulation(ManualTimers timers, int count) {
    this.timers = timers;
    this.fleet = new SimulatedFleet(timers);
    for (int number = 0; number < count; number++) {
      start("edge-" + number, number % DOMAINS);
    }
    fleet.settle();
  }

  Instance start(String id, int domain) {
    Instance instance = new Instance(fleet.start(id, "domain-" + domain), timers);
    running.put(id, instance);
    return instance;
  }

  void stop(String id) {
    running.remove(id);
    fleet.stop(id);
  }

  List<Instance> instances() {
    return new ArrayList<>(running.values());
  }

  Instance senderTo(RegisteredUpstream upstream) {
    return instances().stream()
        .filter(instance -> instance.isSenderTo(upstream))
        .findFirst()
        .orElseThrow();
  }

  /** Makes an upstream cold, and lets all instances read it. */
  RegisteredUpstream makeCold(int number, long remainingMs) {
    long sequence = registrationCounts.merge(number, 1L, Long::sum);
    RegisteredUpstream cold =
        new RegisteredUpstream(
            "i-" + number,
            "asistan",
            "10.1.0." + number,
            80,
            "domain-" + number % DOMAINS,
            16,
            false,
            OptionalLong.of(remainingMs),
            new RegistrationVersion(1, sequence));
    instances().forEach(instance -> instance.list.publish(new UpstreamList(List.of(cold))));
    return cold;
  }

  /** One instance that sends to upstreams that are warming up. */
  static final class Instance {

    private final SimulatedFleet.Member member;
    private final PublishedValue<UpstreamList> list = new PublishedValue<>(UpstreamList.empty());
    private final WarmingUpstreams warming;
    private final SendPermits permits;

    private Instance(SimulatedFleet.Member member, Timers timers) {
      this.member = member;
      this.warming =
          new WarmingUpstreams(
              list, new PublishedValue<>(Set.of()), service -> Optional.of(PLAN), timers);
      this.permits =
          new SendPermits(
              member.self(),
              member,
              new WarmUpRateLimits(warming, service -> Optional.of(PLAN), BOUNDS),
              timers);
    }

    InstanceRecord record() {
      return member.self();
    }

    SendPermits permits() {
      return permits;
    }

    boolean isWarming(RegisteredUpstream upstream) {
      return warming.isWarming(upstream);
    }

    boolean isSenderTo(RegisteredUpstream upstream) {
      return permits.hasPermit(upstream);
    }

    void cutOff() {
      member.partition();
    }

    void reconnect() {
      member.reconnect();
    }

    void read() {
      member.read();
    }
  }
}
