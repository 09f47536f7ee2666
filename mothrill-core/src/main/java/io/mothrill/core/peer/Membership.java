package io.mothrill.core.peer;

import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * An immutable view of the instances known to this one.
 *
 * @param self this instance
 * @param others the other instances that the platform lists or that sent a heartbeat recently
 * @param reachable the incarnations from which a heartbeat was received recently
 */
public record Membership(InstanceRecord self, List<InstanceRecord> others, Set<String> reachable) {

  /** Copies the collections. */
  public Membership {
    others = List.copyOf(others);
    reachable = Set.copyOf(reachable);
  }

  /**
   * Returns the view of an instance that knows no other instances.
   *
   * @param self this instance
   * @return the view
   */
  public static Membership selfOnly(InstanceRecord self) {
    return new Membership(self, List.of(), Set.of());
  }

  /**
   * Returns the other instances that are reachable.
   *
   * @return the instances
   */
  public List<InstanceRecord> reachableOthers() {
    return others.stream().filter(this::isReachable).toList();
  }

  /**
   * Returns all known instances that are not leaving, including this one.
   *
   * @return the instances, reachable or not
   */
  public List<InstanceRecord> activeInstances() {
    return all().filter(instance -> !instance.leaving()).toList();
  }

  /**
   * Returns the known instances of a failure domain that are not leaving.
   *
   * @param domain the failure domain
   * @return the instances, reachable or not, including this one if it belongs to the failure domain
   */
  public List<InstanceRecord> activeInstancesIn(String domain) {
    return activeInstances().stream().filter(instance -> instance.domain().equals(domain)).toList();
  }

  /**
   * Checks whether an instance is reachable.
   *
   * @param instance the instance
   * @return true for this instance and each instance from which a heartbeat was received recently
   */
  public boolean isReachable(InstanceRecord instance) {
    return isSelf(instance) || reachable.contains(instance.incarnation());
  }

  /**
   * Checks whether a record is this instance.
   *
   * @param instance the instance
   * @return true when it is this incarnation
   */
  public boolean isSelf(InstanceRecord instance) {
    return instance.incarnation().equals(self.incarnation());
  }

  /**
   * Returns the instance of an incarnation.
   *
   * @param incarnation the incarnation
   * @return the instance, or empty when the incarnation is unknown or was replaced
   */
  public Optional<InstanceRecord> find(String incarnation) {
    return all().filter(instance -> instance.incarnation().equals(incarnation)).findFirst();
  }

  private Stream<InstanceRecord> all() {
    List<InstanceRecord> all = new ArrayList<>(others);
    all.add(self);
    return all.stream();
  }
}
