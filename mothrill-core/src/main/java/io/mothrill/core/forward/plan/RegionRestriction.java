package io.mothrill.core.forward.plan;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Restricts requests to regions in which they may be processed.
 *
 * <pre>{@code
 * RegionRestriction both = route.regionRestriction().intersect(team.regionRestriction());
 * boolean allowed = both.allows("anadolu");
 * }</pre>
 */
public final class RegionRestriction {

  private static final RegionRestriction UNRESTRICTED = new RegionRestriction(Optional.empty());

  private final Optional<Set<String>> regions;

  private RegionRestriction(Optional<Set<String>> regions) {
    this.regions = regions;
  }

  /**
   * Returns the restriction that allows every region.
   *
   * @return no restriction
   */
  public static RegionRestriction unrestricted() {
    return UNRESTRICTED;
  }

  /**
   * Creates a restriction to some regions.
   *
   * @param regions the names of the regions; if empty, no region is allowed
   * @return the restriction
   */
  public static RegionRestriction of(Collection<String> regions) {
    return new RegionRestriction(Optional.of(Set.copyOf(regions)));
  }

  /**
   * Returns the regions that both allow.
   *
   * @param other the other regions
   * @return the intersection
   */
  public RegionRestriction intersect(RegionRestriction other) {
    if (regions.isEmpty()) {
      return other;
    }
    if (other.regions.isEmpty()) {
      return this;
    }
    Set<String> shared = new HashSet<>(regions.get());
    shared.retainAll(other.regions.get());
    return of(shared);
  }

  /**
   * Checks whether a request may be processed in a region.
   *
   * @param region the region's name; empty if it is unknown
   * @return true if the region is allowed or there is no restriction
   */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.get().contains(region);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RegionRestriction restriction && restriction.regions.equals(regions);
  }

  @Override
  public int hashCode() {
    return regions.hashCode();
  }

  @Override
  public String toString() {
    return regions.map(String::valueOf).orElse("anywhere");
  }
}
