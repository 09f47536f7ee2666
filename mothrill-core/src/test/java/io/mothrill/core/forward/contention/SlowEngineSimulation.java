package io.mothrill.core.forward.contention;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.PrefillSpeed;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PromptCost;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamPicker;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * A fleet of 25 instances that send 400 short prompts per second to 63 engines, one of which works
 * at a twentieth of its speed for 3 s. Each prompt belongs to one of 250 sessions, whose prefix is
 * cached by one engine.
 */
final class SlowEngineSimulation {

  static final int INSTANCES = 25;
  static final long SLOW_FROM_MS = 2_000;
  static final long SLOW_UNTIL_MS = 5_000;
  private static final long END_MS = 7_000;
  private static final int ENGINES = 63;
  private static final int SESSIONS = 250;
  private static final double REQUESTS_PER_MS = 0.4;
  private static final long TARGET_LATENCY_MS = 403;
  private static final double TOKENS_PER_MS = 85.2;
  private static final double SLOWDOWN = 20;
  private static final long DATAGRAM_MS = 1;
  private static final RegisteredUpstream SLOW = TestUpstreams.started("i-0", "konya", 0);

  private final ManualTimers timers = new ManualTimers();
  private final Random random;
  private final boolean noticesArrive;
  private final PublishedValue<UpstreamList> list = new PublishedValue<>(UpstreamList.empty());
  private final List<Instance> instances = new ArrayList<>();
  private final double[] busyUntilMs = new double[ENGINES];
  private final List<Long> arrivalsAtSlowMs = new ArrayList<>();

  SlowEngineSimulation(long seed, boolean noticesArrive) {
    this.random = new Random(seed);
    this.noticesArrive = noticesArrive;
    list.publish(
        new UpstreamList(
            IntStream.range(0, ENGINES)
                .mapToObj(number -> TestUpstreams.started("i-" + number, "konya", 0))
                .toList()));
    IntStream.range(0, INSTANCES).forEach(number -> instances.add(new Instance(number)));
  }

  private final class Instance {
    private final InstanceRecord record;
    private final UpstreamLoads loads = new UpstreamLoads();
    private final PrefixCacheEstimator prefixCache = new PrefixCacheEstimator();
    private final UpstreamContention contention = new UpstreamContention(random);
    private final ContentionMonitor monitor;
    private final UpstreamPicker picker;

    Instance(int number) {
      this.record = new InstanceRecord("e-" + number, "e", "konya", "10.2.0." + number, 1, false);
      PrefillSpeed speed = new PrefillSpeed();
      speed.onPrefill((long) (100 * TOKENS_PER_MS), 100);
      this.monitor =
          new ContentionMonitor(
              contention,
              loads,
              LoadFeatures.of(true),
              list,
              new ContentionBroadcast(record, this::others, this::deliver, timers),
              new WorkTimes(),
              (service, tokens) -> tokens / speed.tokensPerMs(),
              upstream -> false,
              timers);
      PromptCost tokens = new PromptCost("konya", loads, prefixCache, speed);
      UpstreamCost cost =
          (query, upstreams, nowMs) -> {
            var costOf = tokens.costFunction(query, upstreams, nowMs);
            return upstream ->
                costOf.applyAsDouble(upstream)
                    + TOKENS_PER_MS * contention.waitMs(upstream.incarnation(), nowMs);
          };
      this.picker =
          new UpstreamPicker(
              list,
              loads,
              cost,
              cost,
              (upstream, query, nowMs) -> true,
              upstream -> false,
              domain -> true,
              timers);
    }

    private List<InstanceRecord> others() {
      return instances.stream().filter(other -> other != this).map(other -> other.record).toList();
    }

    private void deliver(ContentionReport report, List<InstanceRecord> to) {
      if (noticesArrive) {
        instances.stream()
            .filter(other -> to.contains(other.record))
            .forEach(other -> timers.after(DATAGRAM_MS, () -> other.monitor.onReport(report)));
      }
    }

    private void send(Prompt prompt) {
      long nowMs = timers.nowMs();
      RegisteredUpstream upstream = picker.pick(query(prompt)).orElseThrow();
      final long uncached = prefixCache.uncachedTokens(prompt, upstream.incarnation(), nowMs);
      loads.of(upstream.incarnation()).onSent(uncached);
      prefixCache.onSent(prompt, upstream.incarnation(), nowMs);
      RequestObservation observation = monitor.onPromptSent(upstream, TARGET_LATENCY_MS, uncached);
      timers.after(
          (long) (engineDoneMs(upstream, uncached / TOKENS_PER_MS) - nowMs),
          () -> {
            observation.onHead(OptionalInt.empty(), OptionalInt.empty(), OptionalDouble.empty());
            observation.onAnswered();
            loads.of(upstream.incarnation()).onPrefillDone(uncached);
            loads.of(upstream.incarnation()).onRequestEnded();
          });
    }
  }

  private static UpstreamQuery query(Prompt prompt) {
    return new UpstreamQuery(
        "asistan",
        TARGET_LATENCY_MS,
        Optional.of(prompt),
        RegionRestriction.unrestricted(),
        Set.of(),
        UpstreamQuery.Eligibility.unrestricted());
  }

  /** Adds a prompt to the queue of an engine and returns when it is read. */
  private double engineDoneMs(RegisteredUpstream upstream, double workMs) {
    int number = Integer.parseInt(upstream.id().substring(2));
    double startMs = Math.max((double) timers.nowMs(), busyUntilMs[number]);
    boolean slow =
        upstream.id().equals(SLOW.id()) && startMs >= SLOW_FROM_MS && startMs < SLOW_UNTIL_MS;
    if (upstream.id().equals(SLOW.id())) {
      arrivalsAtSlowMs.add(timers.nowMs());
    }
    busyUntilMs[number] = startMs + (slow ? SLOWDOWN : 1.0) * workMs;
    return busyUntilMs[number];
  }

  private static Prompt prompt(int session) {
    return new Prompt(
        "m",
        2_000,
        100,
        List.of(new Prompt.Part("session-" + session, 1_600), new Prompt.Part("own", 400)));
  }

  /** Runs the simulation. */
  SlowEngineSimulation run() {
    while (timers.nowMs() < END_MS) {
      if (random.nextDouble() < REQUESTS_PER_MS) {
        instances.get(random.nextInt(INSTANCES)).send(prompt(random.nextInt(SESSIONS)));
      }
      timers.advanceMs(1);
    }
    return this;
  }

  /** Returns the number of requests that the slow engine received in a period. */
  long receivedBySlowEngine(long fromMs, long untilMs) {
    return arrivalsAtSlowMs.stream().filter(atMs -> atMs >= fromMs && atMs < untilMs).count();
  }
}
