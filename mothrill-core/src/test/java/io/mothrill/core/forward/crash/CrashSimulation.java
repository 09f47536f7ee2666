package io.mothrill.core.forward.crash;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Instances in several failure domains that send each other crash records over a lossy network. */
final class CrashSimulation {

  static final Fingerprint REQUEST = new Fingerprint(7, 7);

  private static final int DOMAINS = 6;

  /** One-way delay between failure domains, with a little jitter. */
  private static final int MIN_DELAY_MS = 1;

  private static final int MAX_DELAY_MS = 4;

  final ManualTimers timers = new ManualTimers();
  final Map<String, CrashGuard> guards = new HashMap<>();
  private final List<InstanceRecord> instances = new ArrayList<>();
  final FakeTable table = new FakeTable(timers);
  final StoreClock storeClock = new SteadyStoreClock(timers);
  private final Map<String, Object> processes = new HashMap<>();
  private final Set<String> partitioned = new HashSet<>();
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private final SplittableRandom random;
  private final double lossShare;
  private boolean upstreamsTerminate = true;
  long datagramCount;

  CrashSimulation(int instanceCount, double lossShare, long seed) {
    this(instanceCount, lossShare, seed, 40);
  }

  CrashSimulation(int instanceCount, double lossShare, long seed, int upstreamCount) {
    this.random = new SplittableRandom(seed);
    this.lossShare = lossShare;
    upstreams.publish(
        new UpstreamList(
            IntStream.range(0, upstreamCount).mapToObj(CrashSimulation::upstream).toList()));
    IntStream.range(0, instanceCount).mapToObj(CrashSimulation::instance).forEach(instances::add);
    instances.forEach(this::start);
  }

  static RegisteredUpstream upstream(int number) {
    return new RegisteredUpstream(
        "i-" + number,
        "svc",
        "10.0.0." + number,
        1,
        domain(number),
        8,
        false,
        OptionalLong.empty(),
        new RegistrationVersion(1, 1));
  }

  private static String domain(int number) {
    return "domain-" + number % DOMAINS;
  }

  static InstanceRecord instance(int number) {
    String id = "edge-" + number;
    return new InstanceRecord(id, id, domain(number), id, 1, false);
  }

  /** Starts an instance, or replaces its process by one without records. */
  void start(InstanceRecord self) {
    Object process = new Object();
    processes.put(self.id(), process);
    guards.put(
        self.id(),
        new CrashGuard(
            self,
            () -> instances.stream().filter(other -> !other.equals(self)).toList(),
            (message, to) -> {
              if (processes.get(self.id()) == process) {
                to.forEach(peer -> deliver(self, peer, message));
              }
            },
            table,
            storeClock,
            upstream -> CompletableFuture.completedFuture(upstreamsTerminate),
            upstream -> upstreams.read().isAccepting(upstream),
            timers,
            random));
  }

  void keepUpstreamsRunning() {
    upstreamsTerminate = false;
  }

  void publish(UpstreamList list) {
    upstreams.publish(list);
  }

  CrashGuard guard(int number) {
    return guards.get("edge-" + number);
  }

  void partition(int number) {
    partitioned.add("edge-" + number);
  }

  void reconnect() {
    partitioned.clear();
  }

  private void deliver(InstanceRecord from, InstanceRecord to, CrashMessage message) {
    datagramCount++;
    boolean lost = random.nextDouble() < lossShare;
    if (lost || partitioned.contains(from.id()) || partitioned.contains(to.id())) {
      return;
    }
    long delayMs = random.nextInt(MIN_DELAY_MS, MAX_DELAY_MS + 1);
    CrashGuard receiver = guards.get(to.id());
    timers.after(
        delayMs,
        () -> receiver.onMessage(message, InstanceRecord.ofAddress(from.host(), from.peerPort())));
  }

  /** Crashes an upstream under the request at an instance. */
  void crash(int instance, int upstream) {
    guard(instance).onConnectionLost(List.of(REQUEST), upstream(upstream));
  }

  boolean isQuarantinedAt(int instance) {
    return guard(instance).crashCount(REQUEST) >= CrashRecord.MAX_CRASHES;
  }

  long quarantiningCount() {
    return guards.values().stream()
        .filter(guard -> guard.crashCount(REQUEST) >= CrashRecord.MAX_CRASHES)
        .count();
  }
}
