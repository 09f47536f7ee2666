package io.mothrill.core.forward.plan;

import java.util.Optional;

/**
 * The declared configuration of a service.
 *
 * @param name its name
 * @param maxConnections the maximum number of connections to one upstream from all callers together
 * @param engine the properties of its upstreams if they are model engines
 * @param warmUp the warm-up of its upstreams; empty if it is not limited
 */
public record ServicePlan(
    String name, int maxConnections, Optional<EnginePlan> engine, Optional<WarmUpPlan> warmUp) {

  /**
   * The declared properties of model engines.
   *
   * @param slots the number of requests that one engine runs concurrently
   * @param kvCacheTokens the number of prompt and answer tokens that fit into the cache of one
   *     engine
   * @param tokensPerEvent the maximum number of tokens in one event of a stream
   */
  public record EnginePlan(int slots, long kvCacheTokens, int tokensPerEvent) {}
}
