package io.mothrill.core.forward.prompt;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.load.SwitchedCost;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.plan.Route;
import io.mothrill.core.forward.plan.RouteKind;
import io.mothrill.core.forward.plan.WeightedService;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.PrefillSpeed;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PromptCost;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamCondition;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamPicker;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Instances that send prompts to engines in memory; engines prefill one prompt after another. */
final class SimulatedFleet {

  static final String SERVICE = "asistan";
  private static final long STALLING_TOKENS = 8_000;
  private static final long NOTICE_TOKENS = 2_400;

  final ManualTimers timers = new ManualTimers();
  final PublishedValue<UpstreamList> list = new PublishedValue<>(UpstreamList.empty());
  final List<Instance> instances;
  final Map<String, Double> slowdowns = new HashMap<>();
  final Map<String, Double> waitsMs = new HashMap<>();
  private final Random random = new Random(7);
  private final Random jitter = new Random(8);
  private final boolean noticesLost;
  private final Map<String, Engine> engines = new HashMap<>();
  int shortCount;
  int overlapCount;
  int lateLongCount;

  private static final class Engine {
    private final List<boolean[]> unansweredShort = new ArrayList<>();
    private int unansweredLongCount;
    private double busyUntilMs;
  }

  SimulatedFleet(
      int instanceCount, int engineCount, int domainCount, LoadFeatures features, boolean lost) {
    noticesLost = lost;
    list.publish(
        new UpstreamList(
            IntStream.range(0, engineCount).mapToObj(i -> engine(i, i % domainCount)).toList()));
    instances =
        IntStream.range(0, instanceCount)
            .mapToObj(i -> new Instance("d" + i % domainCount, features))
            .toList();
  }

  static RegisteredUpstream engine(int number, int domain) {
    OptionalLong unknown = OptionalLong.empty();
    return new RegisteredUpstream(
        "i-" + number,
        SERVICE,
        "",
        80,
        "d" + domain,
        24,
        false,
        unknown,
        RegistrationVersion.UNKNOWN);
  }

  static ForwardingPlan plan() {
    List<Route> routes = List.of(route(808), route(403));
    return new ForwardingPlan(1, routes, List.of(), List.of(), CallerBounds.standard());
  }

  private static Route route(long targetMs) {
    List<WeightedService> targets = List.of(new WeightedService(SERVICE, 1));
    RegionRestriction anywhere = RegionRestriction.unrestricted();
    OptionalLong pauseMs = OptionalLong.of(400);
    return new Route(
        "r",
        "h",
        "/" + targetMs,
        RouteKind.STREAM,
        targets,
        9_000,
        targetMs,
        pauseMs,
        1,
        2,
        anywhere,
        false);
  }

  static Prompt prompt(long tokens) {
    return new Prompt("m", tokens, 100, List.of(new Prompt.Part("p" + tokens, tokens)));
  }

  static UpstreamQuery query(Prompt prompt) {
    long targetMs = prompt.inputTokens() > STALLING_TOKENS ? 808 : 403;
    RegionRestriction anywhere = RegionRestriction.unrestricted();
    return new UpstreamQuery(
        SERVICE,
        targetMs,
        Optional.of(prompt),
        anywhere,
        Set.of(),
        UpstreamQuery.Eligibility.unrestricted());
  }

  List<RegisteredUpstream> listed() {
    return list.read().acceptingFor(SERVICE);
  }

  /** Four of five prompts are short; the others have a heavy tail, from 6,000 to 60,000 tokens. */
  void run(long durationMs, double promptsPerMs) {
    double nextMs = timers.nowMs();
    for (long endMs = timers.nowMs() + durationMs; nextMs < endMs; ) {
      nextMs -= Math.log(1 - random.nextDouble()) / promptsPerMs;
      timers.advanceMs(Math.max(0, (long) nextMs - timers.nowMs()));
      double tail = Math.min(60_000, 6_000 / Math.pow(1 - random.nextDouble(), 0.6));
      long tokens = random.nextInt(5) > 0 ? 826 + random.nextInt(1_500) : (long) tail;
      instances.get(random.nextInt(instances.size())).send(prompt(tokens));
    }
  }

  /** The parts of one instance that choose the engine of a prompt. */
  final class Instance implements UpstreamCondition {
    final UpstreamLoads loads = new UpstreamLoads();
    final PrefixCacheEstimator prefixCache = new PrefixCacheEstimator();
    final PrefillSpeed speed = new PrefillSpeed();
    final PrefillTimeModel model = new PrefillTimeModel();
    final PromptClassifier classes = new PromptClassifier(new PublishedValue<>(plan()), model);
    final EnginePools pools = new EnginePools(prefixCache, () -> instances.size(), timers);
    final FirstEventCost cost;
    final PromptTracker tracker;
    final UpstreamPicker picker;

    Instance(String domain, LoadFeatures features) {
      tracker =
          new PromptTracker(
              features, list, loads, prefixCache, model, classes, pools, this, timers);
      cost = new FirstEventCost(domain, loads, prefixCache, model, classes, pools, this, jitter);
      PromptCost other = new PromptCost(domain, loads, prefixCache, speed);
      picker =
          new UpstreamPicker(
              list,
              loads,
              other,
              new SwitchedCost(features, cost, other),
              (upstream, query, nowMs) -> true,
              upstream -> false,
              reached -> true,
              timers);
    }

    @Override
    public double slowdown(String incarnation, long nowMs) {
      return slowdowns.getOrDefault(incarnation, 1.0);
    }

    @Override
    public double waitMs(String incarnation, long nowMs) {
      return waitsMs.getOrDefault(incarnation, 0.0);
    }

    RegisteredUpstream pick(Prompt prompt) {
      return picker.pick(query(prompt)).orElseThrow();
    }

    void send(Prompt prompt) {
      long tokens = prompt.inputTokens();
      RegisteredUpstream upstream = pick(prompt);
      UpstreamLoad load = loads.of(upstream.incarnation());
      load.onSent(tokens);
      SentPrompt sent = tracker.onSent(upstream, prompt);
      if (tokens >= NOTICE_TOKENS && !noticesLost) {
        instances.stream()
            .filter(other -> other != this)
            .forEach(other -> other.onNotice(upstream.incarnation(), tokens));
      }
      long tookMs = arrive(engines.computeIfAbsent(upstream.id(), id -> new Engine()), tokens);
      timers.after(
          tookMs,
          () -> {
            speed.onPrefill(tokens, tookMs);
            load.onPrefillDone(tokens);
            sent.onFirstEvent(tookMs);
            sent.onPrefillDone();
          });
      timers.after(
          tookMs + 300,
          () -> {
            load.onRequestEnded();
            sent.onEnded(tookMs + 300);
          });
    }

    private void onNotice(String incarnation, long tokens) {
      loads.of(incarnation).onPromptNotice(tokens, speed.tokensPerMs(), timers.nowMs());
      tracker.onNotice(incarnation, tokens);
    }
  }

  /** Queues a prompt; prefill time as measured, 1.46 s for 54,000 tokens, and 8 ms of network. */
  private long arrive(Engine engine, long tokens) {
    double prefillMs = tokens / 85.2 + 2.83e-7 * tokens * tokens;
    engine.busyUntilMs = Math.max(engine.busyUntilMs, timers.nowMs()) + prefillMs;
    long tookMs = Math.round(engine.busyUntilMs) - timers.nowMs() + 8;
    if (tokens > STALLING_TOKENS) {
      lateLongCount += tookMs > 808 ? 1 : 0;
      engine.unansweredLongCount++;
      engine.unansweredShort.forEach(overlapped -> overlapped[0] = true);
      timers.after(tookMs, () -> engine.unansweredLongCount--);
    } else {
      shortCount++;
      boolean[] overlapped = {engine.unansweredLongCount > 0};
      engine.unansweredShort.add(overlapped);
      timers.after(
          tookMs,
          () -> {
            engine.unansweredShort.remove(overlapped);
            overlapCount += overlapped[0] ? 1 : 0;
          });
    }
    return tookMs;
  }
}
