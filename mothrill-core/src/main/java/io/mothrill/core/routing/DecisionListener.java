package io.mothrill.core.routing;

/** Receives every routing decision, for the log and for operators who query a request. */
public interface DecisionListener {

  /**
   * Called when a call has been assigned to an upstream.
   *
   * @param decision the decision
   */
  void onRouted(RoutingDecision decision);
}
