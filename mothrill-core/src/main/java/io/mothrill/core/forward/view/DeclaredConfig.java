package io.mothrill.core.forward.view;

import io.mothrill.core.forward.plan.ForwardingPlan;
import java.util.Optional;
import java.util.Set;

/**
 * What operators have declared, as of one moment.
 *
 * @param plan the newest plan; empty when there is none yet, or none that can be read
 * @param evacuatedDomains the failure domains whose upstreams are to get nothing new
 */
public record DeclaredConfig(Optional<ForwardingPlan> plan, Set<String> evacuatedDomains) {

  /** Takes a copy of the domains. */
  public DeclaredConfig {
    evacuatedDomains = Set.copyOf(evacuatedDomains);
  }
}
