package io.mothrill.core.forward.prompt;

import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator.PreferredUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamCondition;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Cost of prompts where decisions under load are active, in ms until the first event.
 *
 * <p>Waits have a low weight as long as the prompt meets its target latency behind them and a high
 * one once it would be late, as in {@code PromptCost}, or once the prefill at the engine takes so
 * long that the events of its running requests are late. Engines of another pool are possible but
 * expensive, so a prompt leaves its pool when the engines there are gone, avoided or full.
 */
public final class FirstEventCost implements UpstreamCost {

  /** Weight of a wait within the target; the emptier of two equal engines is selected. */
  private static final double TIMELY_WAIT_WEIGHT = 0.3;

  /** Weight of the part of a wait that makes the answer late. */
  private static final double LATE_WAIT_WEIGHT = 4;

  /** Part of the target latency that may pass before the first event, as estimates are rough. */
  private static final double TARGET_SHARE = 0.5;

  /**
   * Each running request lengthens the steps of the others slightly; ten of them must not outweigh
   * the few hundred tokens of a prefix that an engine has cached.
   */
  private static final double RUNNING_MS = 0.2;

  /**
   * For each request beyond the slots, which waits until another one has ended. More than the cost
   * of another pool, so that a full pool is left.
   */
  private static final double OVERFULL_MS = 150;

  private static final double OTHER_DOMAIN_MS = 2.4;
  private static final double OTHER_POOL_MS = 100;

  /** Keeps instances that have received the same notices from all selecting the same engine. */
  private static final double JITTER_MS = 0.5;

  private final String ownDomain;
  private final UpstreamLoads loads;
  private final PrefixCacheEstimator prefixCache;
  private final PrefillTimeModel model;
  private final PromptClassifier classifier;
  private final EnginePools enginePools;
  private final UpstreamCondition condition;
  private final RandomGenerator random;

  /**
   * Creates the cost.
   *
   * @param ownDomain the failure domain of this instance
   * @param loads the loads of all upstreams
   * @param prefixCache estimates which prefixes an engine has cached
   * @param model estimates prefill times
   * @param classifier determines the class of prompts
   * @param enginePools the division of the engines
   * @param condition the slowdown and the observed wait of engines
   * @param random distributes selections between equal engines
   */
  public FirstEventCost(
      String ownDomain,
      UpstreamLoads loads,
      PrefixCacheEstimator prefixCache,
      PrefillTimeModel model,
      PromptClassifier classifier,
      EnginePools enginePools,
      UpstreamCondition condition,
      RandomGenerator random) {
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.prefixCache = prefixCache;
    this.model = model;
    this.classifier = classifier;
    this.enginePools = enginePools;
    this.condition = condition;
    this.random = random;
  }

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    Prompt prompt = query.prompt().orElseThrow();
    String service = query.service();
    ServicePools pools = enginePools.poolsOf(service, upstreams);
    PromptClass pool = pools.poolFor(classifier.classOf(service, prompt.inputTokens()));
    PreferredUpstreams preferred = pools.preferredFor(prompt, pool);
    double timelyMs = Math.min(TARGET_SHARE * query.targetLatencyMs(), classifier.stallMs(service));
    return upstream -> {
      double uncached = prefixCache.uncachedTokens(prompt, upstream, preferred, nowMs);
      return firstEventMs(upstream, model.prefillMs(service, uncached), timelyMs, nowMs)
          + (upstream.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_MS)
          + (pools.isInPool(upstream, pool) ? 0 : OTHER_POOL_MS)
          + JITTER_MS * random.nextDouble();
    };
  }

  /**
   * Weighs the time until the first event. The backlog that this instance has counted and the wait
   * that was observed describe the same queue, so the larger one counts.
   */
  private double firstEventMs(
      RegisteredUpstream upstream, double usualPrefillMs, double timelyMs, long nowMs) {
    String incarnation = upstream.incarnation();
    UpstreamLoad load = loads.of(incarnation);
    double slowdown = condition.slowdown(incarnation, nowMs);
    double prefillMs = slowdown * usualPrefillMs;
    double waitMs =
        Math.max(
            condition.waitMs(incarnation, nowMs),
            slowdown * load.prefillBacklog().pendingMs(nowMs));
    double count = load.estimatedCount(nowMs);
    return prefillMs
        + TIMELY_WAIT_WEIGHT * waitMs
        + LATE_WAIT_WEIGHT * Math.max(0, waitMs + prefillMs - timelyMs)
        + RUNNING_MS * slowdown * count
        + OVERFULL_MS * Math.max(0, count + 1 - upstream.slots());
  }
}
