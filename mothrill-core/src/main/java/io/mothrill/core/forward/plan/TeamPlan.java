package io.mothrill.core.forward.plan;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The declared configuration of a team.
 *
 * @param name its name
 * @param keys the keys of its callers
 * @param priority the priority, which overrides that of the route; absent to use the route's
 * @param prepaidTokens the total number of tokens it may spend; absent if unlimited
 * @param regionRestriction the regions in which its requests may be processed
 */
public record TeamPlan(
    String name,
    List<String> keys,
    OptionalInt priority,
    OptionalLong prepaidTokens,
    RegionRestriction regionRestriction) {

  /** Copies the keys. */
  public TeamPlan {
    keys = List.copyOf(keys);
  }
}
