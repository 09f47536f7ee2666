package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.request.Prompt;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Cost of prompts, in tokens that have to be read.
 *
 * <p>What the upstream does not keep of the prompt has to be read in any case and counts in full.
 * Prompts that wait to be read there count for little as long as this one is in time behind them,
 * and for much once it would be late: a prompt goes elsewhere to be in time, not to be first.
 */
public final class PromptCost implements UpstreamCost {

  /** Typical prompt, for the requests of other instances that wait at an upstream. */
  private static final double TYPICAL_PROMPT_TOKENS = 4_000;

  /** Weight of a wait that does no harm, so that equal choices go to the emptier upstream. */
  private static final double TIMELY_WAIT_WEIGHT = 0.3;

  /** Weight of the part of a wait that makes the answer late. */
  private static final double LATE_WAIT_WEIGHT = 4;

  /** Part of the aim that may pass before the first event; estimates are rough. */
  private static final double TARGET_SHARE = 0.5;

  /** A running request slows each step of the others a little, compared with reading a prompt. */
  private static final double RUNNING_TOKENS = 60;

  /** What each request beyond an upstream's slots costs: it would have to wait. */
  private static final double OVERFULL_TOKENS = 3_000;

  /** Bytes that cross failure domains are worth a small detour, not a prompt read again. */
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
   * @param memory which upstream is likely to keep which parts
   * @param speed how fast upstreams read
   */
  public PromptCost(
      String ownDomain, UpstreamLoads loads, PrefixCacheEstimator memory, PrefillSpeed speed) {
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.prefixCache = memory;
    this.speed = speed;
  }

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    Prompt prompt = query.prompt().orElseThrow();
    PrefixCacheEstimator.PreferredUpstreams homes =
        prefixCache.preferredUpstreams(prompt, upstreams);
    double tokensPerMs = speed.tokensPerMs();
    double inTimeTokens = TARGET_SHARE * query.targetLatencyMs() * tokensPerMs;
    return upstream -> {
      UpstreamLoad load = loads.of(upstream.incarnation());
      double count = load.estimatedCount(nowMs);
      double unread = prefixCache.uncachedTokens(prompt, upstream, homes, nowMs);
      double wait =
          load.pendingPrefillTokens(tokensPerMs, nowMs)
              + load.estimatedQueued(nowMs) * TYPICAL_PROMPT_TOKENS;
      return unread
          + TIMELY_WAIT_WEIGHT * wait
          + LATE_WAIT_WEIGHT * Math.max(0, wait + unread - inTimeTokens)
          + count * RUNNING_TOKENS
          + Math.max(0, count + 1 - upstream.slots()) * OVERFULL_TOKENS
          + (upstream.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_TOKENS);
    };
  }
}
