package io.mothrill.lab.fleet;

import java.util.HashSet;
import java.util.Set;

/** Which places can reach each other; a place is an instance, a failure domain or the platform. */
public final class Network {

  /** The platform as a place. */
  public static final String PLATFORM = "platform";

  private final Set<Cut> cuts = new HashSet<>();

  private record Cut(String one, String other) {}

  /**
   * Cuts two places off from each other.
   *
   * @param one an instance, a failure domain or the platform
   * @param other the other place
   */
  public void cut(String one, String other) {
    cuts.add(new Cut(one, other));
    cuts.add(new Cut(other, one));
  }

  /**
   * Joins two places again.
   *
   * @param one an instance, a failure domain or the platform
   * @param other the other place
   */
  public void heal(String one, String other) {
    cuts.remove(new Cut(one, other));
    cuts.remove(new Cut(other, one));
  }

  /** Joins all places again. */
  public void healAll() {
    cuts.clear();
  }

  boolean reaches(Place from, Place to) {
    return from.names().stream()
        .noneMatch(
            one -> to.names().stream().anyMatch(other -> cuts.contains(new Cut(one, other))));
  }

  /** Where something stands: the names under which it can be cut off. */
  record Place(Set<String> names) {

    static Place of(String... names) {
      return new Place(Set.of(names));
    }
  }
}
