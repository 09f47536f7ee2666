package io.mothrill.core.forward.plan;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which requests may be worked on.
 *
 * <pre>{@code
 * HomeRegions both = route.homes().and(team.homes());
 * boolean allowed = both.allow("anadolu");
 * }</pre>
 */
public final class AllowedRegions {

  private static final AllowedRegions UNRESTRICTED = new AllowedRegions(Optional.empty());

  private final Optional<Set<String>> regions;

  private AllowedRegions(Optional<Set<String>> regions) {
    this.regions = regions;
  }

  /**
   * Binds to no region.
   *
   * @return homes that allow every region
   */
  public static AllowedRegions unrestricted() {
    return UNRESTRICTED;
  }

  /**
   * Binds to some regions.
   *
   * @param regions their names; without any, no region is allowed
   * @return the homes
   */
  public static AllowedRegions of(Collection<String> regions) {
    return new AllowedRegions(Optional.of(Set.copyOf(regions)));
  }

  /**
   * Binds to what both allow.
   *
   * @param other other homes
   * @return the regions that are in both
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
   * Says whether a request may be worked on in a region.
   *
   * @param region the region's name; empty when it is not known
   * @return true when it is one of the homes, or any region is
   */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.get().contains(region);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof AllowedRegions homes && homes.regions.equals(regions);
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
