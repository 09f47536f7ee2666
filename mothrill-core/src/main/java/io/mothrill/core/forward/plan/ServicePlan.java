package io.mothrill.core.forward.plan;

import java.util.Optional;

/**
 * One service as declared.
 *
 * @param name its name
 * @param maxConnections how many connections one upstream accepts from all callers together
 * @param engine what is known of its upstreams when they are model engines
 * @param warmUp what its upstreams bear after a start; empty when nothing bounds it
 */
public record ServicePlan(
    String name, int maxConnections, Optional<EnginePlan> engine, Optional<WarmUpPlan> warmUp) {

  /**
   * What is declared of model engines.
   *
   * @param slots how many requests one engine runs at once
   * @param kvCacheTokens how many tokens of prompts and answers fit into one engine
   * @param tokensPerEvent how many tokens one event of a stream holds at most
   */
  public record EnginePlan(int slots, long kvCacheTokens, int tokensPerEvent) {}
}
