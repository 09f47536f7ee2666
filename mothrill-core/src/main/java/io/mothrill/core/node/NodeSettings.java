package io.mothrill.core.node;

import io.mothrill.core.budget.BudgetSettings;
import io.mothrill.core.drain.DrainSettings;
import io.mothrill.core.request.RequestSettings;
import io.mothrill.core.routing.QueueSettings;

/**
 * How a node decides.
 *
 * @param budgets how budgets are held
 * @param requests how requests are run
 * @param queues how calls wait
 * @param routing how upstreams are chosen
 * @param drain how long the stages of a drain take
 */
public record NodeSettings(
    BudgetSettings budgets,
    RequestSettings requests,
    QueueSettings queues,
    RoutingSettings routing,
    DrainSettings drain) {

  /**
   * Gives the settings that suit both deployments.
   *
   * @return the standard settings of every part
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
