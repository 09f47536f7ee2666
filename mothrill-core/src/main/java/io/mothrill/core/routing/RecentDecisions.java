package io.mothrill.core.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.tinylog.Logger;

/** Logs every routing decision and retains the latest ones for operators who query a request. */
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
   * Returns the decisions about a request.
   *
   * @param requestId the id of the run
   * @return its decisions, oldest first; empty when they are no longer retained
   */
  public List<RoutingDecision> forRequest(String requestId) {
    synchronized (recent) {
      return recent.stream()
          .filter(decision -> decision.request().requestId().equals(requestId))
          .toList();
    }
  }
}
