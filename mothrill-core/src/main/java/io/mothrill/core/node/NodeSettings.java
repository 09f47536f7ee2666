package io.mothrill.core.node;

import io.mothrill.core.budget.BudgetSettings;
import io.mothrill.core.drain.DrainSettings;
import io.mothrill.core.request.RequestSettings;
import io.mothrill.core.routing.QueueSettings;

/**
 * The settings of a node.
 *
 * @param budgets the budget settings
 * @param requests the request settings
 * @param queues the queue settings
 * @param routing the routing settings
 * @param drain the drain settings
 */
public record NodeSettings(
    BudgetSettings budgets,
    RequestSettings requests,
    QueueSettings queues,
    RoutingSettings routing,
    DrainSettings drain) {

  /**
   * Returns the default settings for both deployments.
   *
   * @return the default settings of every component
   */
  public static NodeSettings standard() {
    return new NodeSettings(
        BudgetSettings.standard(),
        RequestSettings.standard(),
        QueueSettings.standard(),
        RoutingSettings.standard(),
        DrainSettings.standard());
  }
}
