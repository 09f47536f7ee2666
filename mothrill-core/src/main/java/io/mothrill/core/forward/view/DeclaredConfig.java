package io.mothrill.core.forward.view;

import io.mothrill.core.forward.plan.ForwardingPlan;
import java.util.Optional;
import java.util.Set;

/**
 * A snapshot of the configuration that operators have declared.
 *
 * @param plan the newest plan; empty if there is none yet or it cannot be parsed
 * @param evacuatedDomains the failure domains whose upstreams must not get new requests
 */
public record DeclaredConfig(Optional<ForwardingPlan> plan, Set<String> evacuatedDomains) {

  /** Copies the failure domains. */
  public DeclaredConfig {
    evacuatedDomains = Set.copyOf(evacuatedDomains);
  }
}
