package io.mothrill.core.routing;

/** Gets to know every decision, for logs and for operators who ask about a request. */
public interface DecisionListener {

  /**
   * A call was given to an upstream.
   *
   * @param decision the decision
   */
  void onRouted(RoutingDecision decision);
}
