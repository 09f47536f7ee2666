package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.ServicePlan;
import io.mothrill.core.forward.request.Prompt;
import java.util.Optional;

/**
 * The token cost of a request for its team.
 *
 * @param prompt the prompt sizes; empty for plain requests, which cost nothing
 * @param progress the progress of the request
 */
record RequestCost(Optional<Prompt> prompt, ForwardProgress progress) {

  /** Returns the maximum cost. */
  long maxTokens() {
    return prompt.map(Prompt::maxTokens).orElse(0L);
  }

  /**
   * Returns the tokens charged to the team: the prompt once if it may have been processed, plus the
   * output that was delivered.
   */
  long chargedTokens(ForwardingPlan plan, String service) {
    if (!progress.mayHaveRun || prompt.isEmpty()) {
      return 0;
    }
    int tokensPerEvent =
        plan.findService(service)
            .flatMap(ServicePlan::engine)
            .map(ServicePlan.EnginePlan::tokensPerEvent)
            .orElse(1);
    long outputTokens =
        Math.min(prompt.get().maxOutputTokens(), progress.eventCount * tokensPerEvent);
    return prompt.get().inputTokens() + outputTokens;
  }
}
