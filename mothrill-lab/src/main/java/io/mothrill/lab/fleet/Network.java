package io.mothrill.lab.fleet;

import java.util.HashSet;
import java.util.Set;

/** A simulated network that can be partitioned between instances, failure domains and the platform. */
public final class Network {

  /** The name of the platform's location. */
  public static final String PLATFORM = "platform";

  private final Set<Cut> cuts = new HashSet<>();

  private record Cut(String one, String other) {}

  /**
   * Partitions two locations from each other.
   *
   * @param one an instance, a failure domain or the platform
   * @param other the other location
   */
  public void cut(String one, String other) {
    cuts.add(new Cut(one, other));
    cuts.add(new Cut(other, one));
  }

  /**
   * Removes the partition between two locations.
   *
   * @param one an instance, a failure domain or the platform
   * @param other the other location
   */
  public void heal(String one, String other) {
    cuts.remove(new Cut(one, other));
    cuts.remove(new Cut(other, one));
  }

  /** Removes all partitions. */
  public void healAll() {
    cuts.clear();
  }

  boolean reaches(Place from, Place to) {
    return from.names().stream()
        .noneMatch(
            one -> to.names().stream().anyMatch(other -> cuts.contains(new Cut(one, other))));
  }

  /** A location in the network: all names under which a partition can include it. */
  record Place(Set<String> names) {

    static Place of(String... names) {
      return new Place(Set.of(names));
    }
  }
}
