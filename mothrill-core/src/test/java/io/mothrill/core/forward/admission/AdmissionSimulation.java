package io.mothrill.core.forward.admission;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.retry.RetryBounds;
import io.mothrill.core.forward.retry.SharedRetryBudget;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Instances, upstreams of one plain service and callers that retry, without a network. */
final class AdmissionSimulation {

  static final String SERVICE = "plain";
  private static final int SLOTS = 6;
  private static final long WORK_MS = 57;
  private static final long DEADLINE_MS = 1_500;
  private static final long TARGET_MS = 145;
  private static final long AVOID_FULL_MS = 250;

  /** A caller's request with its result; {@code tookMs} is negative if it was never served. */
  static final class Call {
    final String team;
    final int priority;
    final long startMs;
    long tookMs = -1;

    Call(String team, int priority, long startMs) {
      this.team = team;
      this.priority = priority;
      this.startMs = startMs;
    }

    boolean isServed() {
      return tookMs >= 0;
    }
  }

  final ManualTimers timers = new ManualTimers();
  final List<Call> calls = new ArrayList<>();
  final List<Long> returnsMs = new ArrayList<>();
  final List<Upstream> upstreams = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  int turnedAwayCount;
  private final Random random;
  private final boolean isActive;
  private final PublishedValue<UpstreamList> list;

  AdmissionSimulation(int instanceCount, boolean isActive, long seed) {
    this.random = new Random(seed);
    this.isActive = isActive;
    IntStream.range(0, 4).forEach(number -> upstreams.add(new Upstream("u-" + number)));
    this.list =
        new PublishedValue<>(
            new UpstreamList(upstreams.stream().map(upstream -> upstream.entry).toList()));
    IntStream.range(0, instanceCount).forEach(unused -> instances.add(new Instance()));
  }

  /** Sends the requests of one team at random times, a fifth of them urgent. */
  void offer(String team, double perS, long forMs) {
    for (double atMs = nextGapMs(perS); atMs < forMs; atMs += nextGapMs(perS)) {
      timers.after(
          (long) atMs,
          () -> {
            Call call = new Call(team, random.nextInt(5) == 0 ? 0 : 2, timers.nowMs());
            calls.add(call);
            instances.get(random.nextInt(instances.size())).start(call);
          });
    }
  }

  private double nextGapMs(double perS) {
    return -Math.log(1 - random.nextDouble()) * 1_000 / perS;
  }

  /** Replaces one instance by one that knows nothing. */
  void restartInstance() {
    instances.set(0, new Instance());
  }

  double servedShare(Predicate<Call> which) {
    List<Call> matching = calls.stream().filter(which).toList();
    return matching.stream().filter(Call::isServed).count() / (double) matching.size();
  }

  long limitedInstanceCount() {
    return instances.stream().filter(one -> one.admissions.counts().limitedServices() > 0).count();
  }

  AdmissionCounts counts() {
    return instances.stream()
        .map(instance -> instance.admissions.counts())
        .reduce(AdmissionCounts.NONE, AdmissionCounts::plus);
  }

  /** An upstream with slots and a queue of the same length. */
  final class Upstream {
    private final RegisteredUpstream entry;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    boolean rejectsAll;
    boolean reports = true;
    private int running;

    Upstream(String id) {
      this.entry =
          new RegisteredUpstream(
              id,
              SERVICE,
              "h",
              1,
              "d",
              SLOTS,
              false,
              OptionalLong.of(0),
              new RegistrationVersion(1, 1));
    }

    boolean accept(Runnable onAnswered) {
      if (rejectsAll || queue.size() >= SLOTS) {
        return false;
      }
      queue.add(onAnswered);
      runNext();
      return true;
    }

    private void runNext() {
      if (running < SLOTS && !queue.isEmpty()) {
        running++;
        Runnable onAnswered = queue.remove();
        timers.after(
            WORK_MS,
            () -> {
              running--;
              runNext();
              onAnswered.run();
            });
      }
    }
  }

  private final class Instance {
    private final UpstreamLoads loads = new UpstreamLoads();
    private final SharedRetryBudget retries =
        new SharedRetryBudget(new RetryBounds(0.2, 100, 1_000), () -> 6, timers);
    private final ServiceAdmissions admissions =
        new ServiceAdmissions(
            LoadFeatures.of(isActive),
            new ReportedOccupancy(list, new PublishedValue<>(Set.of()), loads),
            new RetryAfterPolicy(random),
            timers,
            random);

    void start(Call call) {
      RequestAdmission admission =
          new RequestAdmission(
              admissions.find(SERVICE),
              new AdmissionRequest(
                  call.team, call.priority, TARGET_MS, call.startMs + DEADLINE_MS));
      Optional<Rejection> rejection = admission.admit();
      if (rejection.isPresent()) {
        refuse(call, admission, rejection.get());
      } else {
        retries.onRequest(SERVICE);
        send(call, admission, new HashSet<>());
      }
    }

    private void send(Call call, RequestAdmission admission, Set<Upstream> tried) {
      long nowMs = timers.nowMs();
      Optional<Upstream> picked =
          upstreams.stream()
              .filter(upstream -> !tried.contains(upstream))
              .min(Comparator.comparingDouble(upstream -> cost(upstream, nowMs)));
      if (picked.isEmpty()) {
        refuse(call, admission, new Rejection(Cause.ALL_FULL, 400));
        return;
      }
      Upstream upstream = picked.get();
      tried.add(upstream);
      UpstreamLoad load = loads.of(upstream.entry.incarnation());
      load.onSent(0);
      if (upstream.accept(() -> onAnswered(call, admission, upstream, load))) {
        return;
      }
      load.onRequestEnded();
      turnedAwayCount++;
      report(upstream, load);
      load.avoidFor(nowMs, AVOID_FULL_MS);
      Optional<Rejection> rejection = admission.onTurnedAway();
      if (rejection.isEmpty() && retries.tryAcquire(SERVICE)) {
        send(call, admission, tried);
      } else {
        refuse(call, admission, rejection.orElse(new Rejection(Cause.ALL_FULL, 400)));
      }
    }

    private double cost(Upstream upstream, long nowMs) {
      UpstreamLoad load = loads.of(upstream.entry.incarnation());
      double avoided = load.isAvoided(nowMs) ? 100 : 0;
      return avoided + load.estimatedCount(nowMs) / SLOTS + 0.15 * random.nextDouble();
    }

    private void report(Upstream upstream, UpstreamLoad load) {
      if (upstream.reports) {
        int running = upstream.rejectsAll ? SLOTS : upstream.running;
        load.onReport(running, upstream.queue.size(), timers.nowMs());
      }
    }

    private void onAnswered(
        Call call, RequestAdmission admission, Upstream upstream, UpstreamLoad load) {
      load.onRequestEnded();
      report(upstream, load);
      admission.onEnded(true);
      call.tookMs = timers.nowMs() - call.startMs;
    }

    private void refuse(Call call, RequestAdmission admission, Rejection rejection) {
      long retryAfterMs =
          admission
              .withRetryTime(ForwardRefusal.retryAfter(rejection.cause(), rejection.retryAfterMs()))
              .retryAfterMs()
              .getAsLong();
      admission.onEnded(false);
      long remainingMs = call.startMs + DEADLINE_MS - timers.nowMs();
      long waitMs = Math.min(retryAfterMs, remainingMs / 3);
      if (remainingMs - waitMs > 2 * WORK_MS) {
        returnsMs.add(timers.nowMs() + waitMs);
        timers.after(waitMs, () -> start(call));
      }
    }
  }
}
