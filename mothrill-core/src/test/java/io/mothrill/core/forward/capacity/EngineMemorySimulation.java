package io.mothrill.core.forward.capacity;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.check.HeldTokensCheck;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.plan.ServicePlan;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.PlainCost;
import io.mothrill.core.forward.upstream.PrefillSpeed;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PromptCost;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamPicker;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.forward.upstream.UpstreamQuery.Eligibility;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Instances that send long prompts to a few engines and exchange notices that may be lost. */
final class EngineMemorySimulation {

  static final long MEMORY_TOKENS = 391_487;

  private static final int INSTANCES = 25;
  private static final int ENGINES = 8;
  private static final int SLOTS = 24;
  private static final double PREFILL_TOKENS_PER_MS = 85.2;
  private static final long OUTPUT_TOKENS = 200;

  /** Events are stalled by the prefill of other prompts between them. */
  private static final long OUTPUT_MS = 1_500;

  private static final int MAX_NOTICE_DELAY_MS = 3;

  private final ManualTimers timers = new ManualTimers();
  private final Random random = new Random(6);
  private final LoadFeatures features;
  private final double lostShare;
  private final PublishedValue<UpstreamList> list =
      new PublishedValue<>(
          new UpstreamList(
              IntStream.range(0, ENGINES)
                  .mapToObj(number -> TestUpstreams.started("i-" + number, "konya", 1))
                  .toList()));
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<Instance> instances;
  private long fullestTokens;
  private int overfilledCount;
  private int servedCount;
  private int refusedCount;

  /** The tokens of the fullest engine at any time, and how often one was sent too many. */
  record Result(long fullestTokens, int overfilledCount, int servedCount, int refusedCount) {}

  private static final class Engine {
    private long heldTokens;
    private int count;
    private double freeAtMs;
  }

  EngineMemorySimulation(boolean active, double lostShare) {
    this.features = LoadFeatures.of(active);
    this.lostShare = lostShare;
    list.read().all().forEach(upstream -> engines.put(upstream.incarnation(), new Engine()));
    this.instances = IntStream.range(0, INSTANCES).mapToObj(number -> new Instance()).toList();
  }

  /** Sends prompts of 40,000 to 60,000 tokens at random instances and times. */
  Result run(int prompts, int durationMs) {
    for (int number = 0; number < prompts; number++) {
      String id = "p-" + number;
      long tokens = 40_000 + random.nextInt(20_001);
      Instance instance = instances.get(random.nextInt(INSTANCES));
      Prompt prompt = new Prompt("m", tokens, OUTPUT_TOKENS, List.of(new Prompt.Part(id, tokens)));
      timers.after(random.nextInt(durationMs), () -> instance.send(prompt));
    }
    timers.advanceMs(10L * durationMs);
    return new Result(fullestTokens, overfilledCount, servedCount, refusedCount);
  }

  private ForwardingPlan plan() {
    ServicePlan service =
        new ServicePlan(
            "asistan",
            100,
            Optional.of(new ServicePlan.EnginePlan(SLOTS, MEMORY_TOKENS, 11)),
            Optional.empty());
    return new ForwardingPlan(1, List.of(), List.of(service), List.of(), CallerBounds.standard());
  }

  private final class Instance {

    private final UpstreamLoads loads = new UpstreamLoads();
    private final PrefillSpeed speed = new PrefillSpeed();
    private final PrefixCacheEstimator cache = new PrefixCacheEstimator();
    private final EngineHoldings holdings = new EngineHoldings(features);
    private final HeldTokensCheck check =
        new HeldTokensCheck(features, new PublishedValue<>(plan()), holdings);
    private final UpstreamPicker picker =
        new UpstreamPicker(
            list,
            loads,
            new PlainCost("konya", loads, random),
            new PromptCost("konya", loads, cache, speed),
            (upstream, query, nowMs) -> check.check(upstream, query, nowMs).isEmpty(),
            upstream -> false,
            domain -> true,
            timers);

    private void send(Prompt prompt) {
      UpstreamQuery query =
          new UpstreamQuery(
              "asistan",
              808,
              Optional.of(prompt),
              RegionRestriction.unrestricted(),
              Set.of(),
              Eligibility.unrestricted());
      picker.pick(query).ifPresentOrElse(engine -> sendTo(engine, prompt), () -> refusedCount++);
    }

    private void sendTo(RegisteredUpstream upstream, Prompt prompt) {
      long nowMs = timers.nowMs();
      UpstreamLoad load = loads.of(upstream.incarnation());
      load.onSent(prompt.inputTokens());
      final HeldTokens held =
          holdings.onSent(upstream, prompt.maxTokens(), prompt.inputTokens(), nowMs);
      instances.stream()
          .filter(peer -> peer != this && random.nextDouble() >= lostShare)
          .forEach(peer -> peer.receiveLater(upstream, prompt.inputTokens()));
      Engine engine = engines.get(upstream.incarnation());
      engine.count++;
      engine.heldTokens += prompt.maxTokens();
      fullestTokens = Math.max(fullestTokens, engine.heldTokens);
      overfilledCount += engine.heldTokens > MEMORY_TOKENS ? 1 : 0;
      engine.freeAtMs =
          Math.max(engine.freeAtMs, nowMs) + prompt.inputTokens() / PREFILL_TOKENS_PER_MS;
      long untilFirstMs = Math.round(engine.freeAtMs) - nowMs;
      timers.after(
          untilFirstMs,
          () -> {
            load.onPrefillDone(prompt.inputTokens());
            speed.onPrefill(prompt.inputTokens(), untilFirstMs);
            load.onReport(engine.count, 0, timers.nowMs());
            holdings.onReport(upstream, engine.count, 0, timers.nowMs());
          });
      timers.after(
          untilFirstMs + OUTPUT_MS,
          () -> {
            load.onRequestEnded();
            held.end(timers.nowMs());
            engine.count--;
            engine.heldTokens -= prompt.maxTokens();
            servedCount++;
          });
    }

    private void receiveLater(RegisteredUpstream upstream, long tokens) {
      timers.after(
          1 + random.nextInt(MAX_NOTICE_DELAY_MS),
          () -> {
            loads
                .of(upstream.incarnation())
                .onPromptNotice(tokens, speed.tokensPerMs(), timers.nowMs());
            holdings.onNotice(upstream, tokens, timers.nowMs());
          });
    }
  }
}
