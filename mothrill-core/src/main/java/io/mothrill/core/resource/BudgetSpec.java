package io.mothrill.core.resource;

import java.util.List;

/**
 * Prepaid tokens of one team.
 *
 * @param team the team's name
 * @param services the services that may draw on it; empty for all
 * @param topUps payments, each added once by its id; one that is left out later stays added
 */
public record BudgetSpec(String team, List<String> services, List<TopUp> topUps) implements Spec {

  /** Takes copies of the lists. */
  public BudgetSpec {
    services = List.copyOf(services);
    topUps = List.copyOf(topUps);
  }

  /**
   * Says whether a service may draw on this budget.
   *
   * @param service the service's name
   * @return true when it may
   */
  public boolean covers(String service) {
    return services.isEmpty() || services.contains(service);
  }

  @Override
  public ResourceKind kind() {
    return ResourceKind.BUDGET;
  }
}
