package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.request.Prompt;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Cost of prompts, in tokens to prefill.
 *
 * <p>The part of the prompt that is not in the upstream's prefix cache has to be read in any case
 * and counts fully. Prompts queued there have a low weight as long as this one meets its target
 * latency behind them and a high one once it would be late: a prompt is sent elsewhere to be in
 * time, not to be first.
 */
public final class PromptCost implements UpstreamCost {

  /** Typical prompt length, for requests of other instances queued at an upstream. */
  private static final double TYPICAL_PROMPT_TOKENS = 4_000;

  /**
   * Weight of a wait within the target, so that between equal upstreams the emptier one is
   * selected.
   */
  private static final double TIMELY_WAIT_WEIGHT = 0.3;

  /** Weight of the part of a wait that makes the answer late. */
  private static final double LATE_WAIT_WEIGHT = 4;

  /** Part of the target latency that may pass before the first event, as estimates are rough. */
  private static final double TARGET_SHARE = 0.5;

  /** Each running request slows down the steps of the others slightly, compared with a prefill. */
  private static final double RUNNING_TOKENS = 60;

  /** Cost of each request beyond an upstream's slots, which would have to wait. */
  private static final double OVERFULL_TOKENS = 3_000;

  /** Avoiding traffic between failure domains justifies a small detour, but not another prefill. */
  private static final double OTHER_DOMAIN_TOKENS = 200;

  private final String ownDomain;
  private final UpstreamLoads loads;
  private final PrefixCacheEstimator prefixCache;
  private final PrefillSpeed speed;

  /**
   * Creates the cost.
   *
   * @param ownDomain the failure domain of this instance
   * @param loads the loads of all upstreams
   * @param prefixCache estimates which prefixes an upstream has cached
   * @param speed the prefill speed of upstreams
   */
  public PromptCost(
      String ownDomain, UpstreamLoads loads, PrefixCacheEstimator prefixCache, PrefillSpeed speed) {
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.prefixCache = prefixCache;
    this.speed = speed;
  }

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    Prompt prompt = query.prompt().orElseThrow();
    PrefixCacheEstimator.PreferredUpstreams preferred =
        prefixCache.preferredUpstreams(prompt, upstreams);
    double tokensPerMs = speed.tokensPerMs();
    double timelyTokens = TARGET_SHARE * query.targetLatencyMs() * tokensPerMs;
    return upstream -> {
      UpstreamLoad load = loads.of(upstream.incarnation());
      double count = load.estimatedCount(nowMs);
      double uncached = prefixCache.uncachedTokens(prompt, upstream, preferred, nowMs);
      double queuedTokens =
          load.pendingPrefillTokens(tokensPerMs, nowMs)
              + load.estimatedQueued(nowMs) * TYPICAL_PROMPT_TOKENS;
      return uncached
          + TIMELY_WAIT_WEIGHT * queuedTokens
          + LATE_WAIT_WEIGHT * Math.max(0, queuedTokens + uncached - timelyTokens)
          + count * RUNNING_TOKENS
          + Math.max(0, count + 1 - upstream.slots()) * OVERFULL_TOKENS
          + (upstream.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_TOKENS);
    };
  }
}
