package io.mothrill.core.forward.plan;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * One team as declared.
 *
 * @param name its name
 * @param keys the keys that its callers may show
 * @param priority its rank, which goes before the route's; absent when routes decide
 * @param prepaidTokens all that it may ever spend; absent when nothing limits it
 * @param allowedRegions the regions in which its requests may be worked on
 */
public record TeamPlan(
    String name,
    List<String> keys,
    OptionalInt priority,
    OptionalLong prepaidTokens,
    AllowedRegions allowedRegions) {

  /** Takes a copy of the keys. */
  public TeamPlan {
    keys = List.copyOf(keys);
  }
}
