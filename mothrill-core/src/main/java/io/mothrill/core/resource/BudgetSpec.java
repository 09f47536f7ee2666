package io.mothrill.core.resource;

import java.util.List;

/**
 * The prepaid tokens of a team.
 *
 * @param team the team's name
 * @param services the services that may use it; empty for all
 * @param topUps the payments, each credited once by its id; removing one later does not revoke it
 */
public record BudgetSpec(String team, List<String> services, List<TopUp> topUps) implements Spec {

  /** Copies the lists. */
  public BudgetSpec {
    services = List.copyOf(services);
    topUps = List.copyOf(topUps);
  }

  /**
   * Checks whether a service may use this budget.
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
