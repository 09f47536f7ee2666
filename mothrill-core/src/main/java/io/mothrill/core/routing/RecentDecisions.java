package io.mothrill.core.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.tinylog.Logger;

/** Writes one log line per decision, and keeps the last ones for operators who ask. */
public final class RecentDecisions implements DecisionListener {

  private static final int MAX_DECISIONS = 4_096;

  private final Deque<RoutingDecision> recent = new ArrayDeque<>();

  @Override
  public void onRouted(RoutingDecision decision) {
    Logger.info(
        "routed request={} service={} team={} class={} upstream={} waitedMs={} candidates=[{}]",
        decision.request().requestId(),
        decision.request().service(),
        decision.request().team(),
        decision.request().priority(),
        decision.chosen(),
        decision.waitedMs(),
        decision.candidatesText());
    synchronized (recent) {
      recent.addLast(decision);
      if (recent.size() > MAX_DECISIONS) {
        recent.removeFirst();
      }
    }
  }

  /**
   * Finds the decisions about a request.
   *
   * @param requestId the run's id
   * @return its decisions, oldest first; empty when they are no longer kept
   */
  public List<RoutingDecision> forRequest(String requestId) {
    synchronized (recent) {
      return recent.stream()
          .filter(decision -> decision.request().requestId().equals(requestId))
          .toList();
    }
  }
}
