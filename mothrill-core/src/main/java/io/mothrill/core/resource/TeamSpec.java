package io.mothrill.core.resource;

import java.util.List;

/**
 * A team.
 *
 * @param keys the keys that its callers may use
 * @param weight its share of contended capacity, relative to other teams; at least 1
 */
public record TeamSpec(List<TeamKey> keys, int weight) implements Spec {

  /** Takes a copy of the keys. */
  public TeamSpec {
    keys = List.copyOf(keys);
  }

  @Override
  public ResourceKind kind() {
    return ResourceKind.TEAM;
  }
}
