package io.mothrill.core.peer;

import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The instances known to this one; immutable.
 *
 * @param self this instance
 * @param others the other instances that the platform lists or that were heard lately
 * @param reachable the incarnations that answered this instance lately
 */
public record Membership(InstanceRecord self, List<InstanceRecord> others, Set<String> reachable) {

  /** Takes copies of the collections. */
  public Membership {
    others = List.copyOf(others);
    reachable = Set.copyOf(reachable);
  }

  /**
   * Gives a view of an instance that knows of no other.
   *
   * @param self this instance
   * @return the view
   */
  public static Membership selfOnly(InstanceRecord self) {
    return new Membership(self, List.of(), Set.of());
  }

  /**
   * Lists the other instances that answer.
   *
   * @return the instances
   */
  public List<InstanceRecord> reachableOthers() {
    return others.stream().filter(this::isReachable).toList();
  }

  /**
   * Lists all known instances that are not leaving, with this one.
   *
   * @return the instances, reachable or not
   */
  public List<InstanceRecord> activeInstances() {
    return all().filter(instance -> !instance.leaving()).toList();
  }

  /**
   * Lists the known instances of a failure domain that are not leaving.
   *
   * @param domain the failure domain
   * @return the instances, reachable or not, with this one where it belongs to them
   */
  public List<InstanceRecord> activeInstancesIn(String domain) {
    return activeInstances().stream().filter(instance -> instance.domain().equals(domain)).toList();
  }

  /**
   * Says whether an instance answers.
   *
   * @param instance the instance
   * @return true for this instance and for each that was heard lately
   */
  public boolean isReachable(InstanceRecord instance) {
    return isSelf(instance) || reachable.contains(instance.incarnation());
  }

  /**
   * Says whether a record is this instance.
   *
   * @param instance the instance
   * @return true when it is this incarnation
   */
  public boolean isSelf(InstanceRecord instance) {
    return instance.incarnation().equals(self.incarnation());
  }

  /**
   * Finds an instance.
   *
   * @param incarnation its incarnation
   * @return the instance, or empty when it is not known or was replaced
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
