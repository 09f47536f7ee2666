package io.mothrill.core.forward.limit;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.permit.SimulatedFleet;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.TreeMap;

/**
 * Instances that send to one upstream with announced rate limits. Each sends as much as permitted,
 * receives the answers with a delay, and sends the others reports that are late or lost.
 */
final class RateLimitSimulation {

  static final int DOMAINS = 4;

  /** An instance that knows of no limit sends one request per step. */
  private static final int UNLIMITED_SENDS = 1;

  private static final int LOST_ONE_IN = 4;
  private static final int MAX_DELAY_MS = 400;

  private final ManualTimers timers;
  private final Random random;
  private final SimulatedFleet fleet;
  private final Map<String, Instance> running = new TreeMap<>();
  private final RegisteredUpstream upstream = TestUpstreams.started("i-1", "domain-1", 1);
  private Announcement announcement = new Announcement(0, OptionalDouble.empty());

  /** An announcement of the upstream. */
  private record Announcement(int number, OptionalDouble limitPerS) {}

  RateLimitSimulation(ManualTimers timers, Random random, int count) {
    this.timers = timers;
    this.random = random;
    this.fleet = new SimulatedFleet(timers);
    for (int number = 0; number < count; number++) {
      start("edge-" + number, number % DOMAINS);
    }
    fleet.settle();
  }

  Instance start(String id, int domain) {
    Instance instance = new Instance(fleet.start(id, "domain-" + domain));
    running.put(id, instance);
    return instance;
  }

  void stop(String id) {
    running.remove(id);
    fleet.stop(id);
  }

  List<Instance> instances() {
    return List.copyOf(running.values());
  }

  /** Changes or removes the limit that the upstream announces in its next answers. */
  void announce(OptionalDouble newLimitPerS) {
    announcement = new Announcement(announcement.number() + 1, newLimitPerS);
  }

  private void deliver(Instance from, RateLimitReport report, List<InstanceRecord> to) {
    if (from.member.isPartitioned()) {
      return;
    }
    to.stream()
        .filter(recipient -> random.nextInt(LOST_ONE_IN) > 0)
        .forEach(
            recipient ->
                timers.after(
                    random.nextInt(MAX_DELAY_MS),
                    () -> receive(running.get(recipient.id()), report)));
  }

  private static void receive(Instance instance, RateLimitReport report) {
    if (instance != null && !instance.member.isPartitioned()) {
      instance.limits.onReport(report);
    }
  }

  /** One instance that sends to the upstream. */
  final class Instance {

    private final SimulatedFleet.Member member;
    private final AnnouncedRateLimits limits;
    private final SendPermits permits;
    private int receivedNumber;
    private long receivedMs;

    private Instance(SimulatedFleet.Member member) {
      this.member = member;
      this.limits =
          new AnnouncedRateLimits(
              member::others,
              (report, to) -> deliver(this, report, to),
              new PublishedValue<>(new UpstreamList(List.of(upstream))),
              timers);
      this.permits = new SendPermits(member.self(), member, limits, timers);
    }

    SimulatedFleet.Member member() {
      return member;
    }

    /** Checks whether it knows of a limit. */
    boolean isLimited() {
      return limits.find(upstream).isPresent();
    }

    /** Returns the time since it first received the current announcement in an answer. */
    long receivedAgoMs() {
      return receivedNumber == announcement.number() ? timers.nowMs() - receivedMs : 0;
    }

    /** Sends as many requests as permitted and returns their number. */
    int send() {
      int sent = 0;
      while ((isLimited() || sent < UNLIMITED_SENDS) && permits.tryAcquire(upstream)) {
        sent++;
        await(timers.nowMs(), announcement);
      }
      return sent;
    }

    private void await(long sentMs, Announcement answered) {
      timers.after(
          random.nextInt(MAX_DELAY_MS),
          () -> {
            if (receivedNumber < answered.number()) {
              receivedNumber = answered.number();
              receivedMs = timers.nowMs();
            }
            limits.onAnswer(upstream, sentMs, answered.limitPerS());
          });
    }
  }
}
