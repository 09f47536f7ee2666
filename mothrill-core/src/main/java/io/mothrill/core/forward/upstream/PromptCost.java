package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.request.Prompt;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Cost of prompts: the tokens that have to be read before the first one is made.
 *
 * <p>Counted are the prompts that wait to be read at the upstream, and what it does not keep of
 * this one.
 */
public final class PromptCost implements UpstreamCost {

  /** Typical prompt, for the requests of other instances that wait at an upstream. */
  private static final double TYPICAL_PROMPT_TOKENS = 4_000;

  /** A running request slows each step of the others a little, compared with reading a prompt. */
  private static final double RUNNING_TOKENS = 60;

  /** What each request beyond an upstream's slots costs: it would have to wait. */
  private static final double OVERFULL_TOKENS = 3_000;

  /** Bytes that cross failure domains are worth a small detour, not a prompt read again. */
  private static final double OTHER_DOMAIN_TOKENS = 200;

  private final String ownDomain;
  private final UpstreamLoads loads;
  private final PromptMemory memory;

  /**
   * Creates the cost.
   *
   * @param ownDomain the failure domain of this instance
   * @param loads the loads of all upstreams
   * @param memory which upstream is likely to keep which parts
   */
  public PromptCost(String ownDomain, UpstreamLoads loads, PromptMemory memory) {
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.memory = memory;
  }

  @Override
  public ToDoubleFunction<ServingUpstream> compare(
      UpstreamQuery query, List<ServingUpstream> upstreams, long nowMs) {
    Prompt prompt = query.prompt().orElseThrow();
    PromptMemory.Homes homes = memory.homesOf(prompt, upstreams);
    return upstream -> {
      UpstreamLoad load = loads.of(upstream.id());
      double count = load.estimatedCount(nowMs);
      return load.unreadPromptTokens()
          + load.estimatedWaiting(nowMs) * TYPICAL_PROMPT_TOKENS
          + memory.unreadTokens(prompt, upstream, homes, nowMs)
          + count * RUNNING_TOKENS
          + Math.max(0, count + 1 - upstream.slots()) * OVERFULL_TOKENS
          + (upstream.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_TOKENS);
    };
  }
}
