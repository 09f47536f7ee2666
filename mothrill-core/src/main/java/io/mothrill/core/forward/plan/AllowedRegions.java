package io.mothrill.core.forward.plan;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which requests may be processed.
 *
 * <pre>{@code
 * AllowedRegions both = route.allowedRegions().intersect(team.allowedRegions());
 * boolean allowed = both.allows("anadolu");
 * }</pre>
 */
public final class AllowedRegions {

  private static final AllowedRegions UNRESTRICTED = new AllowedRegions(Optional.empty());

  private final Optional<Set<String>> regions;

  private AllowedRegions(Optional<Set<String>> regions) {
    this.regions = regions;
  }

  /**
   * Returns regions without a restriction.
   *
   * @return an instance that allows every region
   */
  public static AllowedRegions unrestricted() {
    return UNRESTRICTED;
  }

  /**
   * Creates a restriction to some regions.
   *
   * @param regions the names of the regions; if empty, no region is allowed
   * @return the allowed regions
   */
  public static AllowedRegions of(Collection<String> regions) {
    return new AllowedRegions(Optional.of(Set.copyOf(regions)));
  }

  /**
   * Returns the regions that both allow.
   *
   * @param other the other regions
   * @return the intersection
   */
  public AllowedRegions intersect(AllowedRegions other) {
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
    return other instanceof AllowedRegions allowed && allowed.regions.equals(regions);
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
