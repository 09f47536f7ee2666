package io.mothrill.core.resource;

import java.util.List;

/**
 * A customer.
 *
 * @param keys the keys accepted from its callers
 * @param weight its share of contended capacity, relative to other teams; at least 1
 */
public record TeamSpec(List<TeamKey> keys, int weight) implements Spec {

  /** Copies the keys. */
  public TeamSpec {
    keys = List.copyOf(keys);
  }

  @Override
  public ResourceKind kind() {
    return ResourceKind.TEAM;
  }
}
