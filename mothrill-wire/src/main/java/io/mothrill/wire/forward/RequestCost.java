package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.ServicePlan;
import io.mothrill.core.forward.request.Prompt;
import java.util.Optional;

/**
 * What a request costs its team.
 *
 * @param prompt what it says of its prompt; empty for plain requests, which cost nothing
 * @param progress how far it has come
 */
record RequestCost(Optional<Prompt> prompt, ForwardProgress progress) {

  /** The most that it can cost. */
  long maxTokens() {
    return prompt.map(Prompt::maxTokens).orElse(0L);
  }

  /** What the team owes: the prompt once if it may have been read, and what was delivered. */
  long chargedTokens(ForwardingPlan plan, String service) {
    if (!progress.mayHaveRun || prompt.isEmpty()) {
      return 0;
    }
    int perEvent =
        plan.findService(service)
            .flatMap(ServicePlan::engine)
            .map(ServicePlan.EnginePlan::tokensPerEvent)
            .orElse(1);
    long output = Math.min(prompt.get().maxOutputTokens(), progress.eventCount * perEvent);
    return prompt.get().inputTokens() + output;
  }
}
