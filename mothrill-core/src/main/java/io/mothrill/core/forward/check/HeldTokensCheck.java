package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.capacity.EngineHoldings;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.ServicePlan;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/**
 * Rejects engines whose memory the request might exceed together with those known to be there: an
 * engine crashes when its requests need more than its memory, and all of them are lost.
 *
 * <p>It rejects nothing where decisions under load are not active or the plan does not specify the
 * memory of the service's engines.
 */
public final class HeldTokensCheck implements SendCheck {

  /** Requests that hold much memory last seconds, and one of several ends within this time. */
  private static final long RETRY_MS = 200;

  /**
   * Part of the memory kept free for requests that this instance does not know of: notices are lost
   * or still on their way, and short prompts are known only from load reports.
   */
  private static final int MARGIN_DIVISOR = 10;

  private static final Optional<Rejection> FULL =
      Optional.of(new Rejection(Cause.ALL_FULL, RETRY_MS));

  private final LoadFeatures features;
  private final PublishedValue<ForwardingPlan> plan;
  private final EngineHoldings holdings;

  /**
   * Creates the check.
   *
   * @param features determines where decisions under load are active
   * @param plan specifies the memory of engines
   * @param holdings the tokens that engines are asked to hold
   */
  public HeldTokensCheck(
      LoadFeatures features, PublishedValue<ForwardingPlan> plan, EngineHoldings holdings) {
    this.features = features;
    this.plan = plan;
    this.holdings = holdings;
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    Optional<Prompt> prompt = query.prompt();
    if (prompt.isEmpty() || !features.isActive(upstream.service())) {
      return Optional.empty();
    }
    long memoryTokens = memoryTokens(upstream.service());
    return memoryTokens <= 0
            || hasRoom(memoryTokens, holdings.tokens(upstream, nowMs), prompt.get().maxTokens())
        ? Optional.empty()
        : FULL;
  }

  /**
   * Checks whether a request fits beside the known ones. One that is larger than the part of the
   * memory that may be filled would never fit, so it may use an engine alone.
   */
  private static boolean hasRoom(long memoryTokens, long heldTokens, long maxTokens) {
    return heldTokens == 0
        || heldTokens + maxTokens <= memoryTokens - memoryTokens / MARGIN_DIVISOR;
  }

  private long memoryTokens(String service) {
    return plan.read()
        .findService(service)
        .flatMap(ServicePlan::engine)
        .map(ServicePlan.EnginePlan::kvCacheTokens)
        .orElse(0L);
  }
}
