package io.mothrill.lab.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * A simulated network that can be partitioned between instances, failure domains and the platform.
 */
public final class Network {

  /** The name of the platform's location. */
  public static final String PLATFORM = "platform";

  private final Set<Partition> partitions = new HashSet<>();

  private record Partition(String one, String other) {}

  /**
   * Partitions two locations from each other.
   *
   * @param one an instance, a failure domain or the platform
   * @param other the other location
   */
  public void partition(String one, String other) {
    partitions.add(new Partition(one, other));
    partitions.add(new Partition(other, one));
  }

  /**
   * Removes the partition between two locations.
   *
   * @param one an instance, a failure domain or the platform
   * @param other the other location
   */
  public void heal(String one, String other) {
    partitions.remove(new Partition(one, other));
    partitions.remove(new Partition(other, one));
  }

  /** Removes all partitions. */
  public void healAll() {
    partitions.clear();
  }

  boolean reaches(Location from, Location to) {
    return from.names().stream()
        .noneMatch(
            one ->
                to.names().stream()
                    .anyMatch(other -> partitions.contains(new Partition(one, other))));
  }

  /** A location in the network: all names under which a partition can include it. */
  record Location(Set<String> names) {

    static Location of(String... names) {
      return new Location(Set.of(names));
    }
  }
}
