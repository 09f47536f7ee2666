package io.mothrill.core.config;

import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.UpstreamSpec;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** An immutable snapshot of all resources at one revision. */
public final class ConfigSnapshot {

  private static final ConfigSnapshot EMPTY =
      new ConfigSnapshot(0, new EnumMap<>(ResourceKind.class));

  private final long revision;
  private final Map<ResourceKind, Map<String, Resource>> resources;
  private final Map<String, List<Resource>> budgetsByTeam;

  private ConfigSnapshot(long revision, Map<ResourceKind, Map<String, Resource>> resources) {
    this.revision = revision;
    this.resources = resources;
    this.budgetsByTeam =
        list(ResourceKind.BUDGET).stream()
            .collect(Collectors.groupingBy(budget -> ((BudgetSpec) budget.spec()).team()));
  }

  /**
   * Returns the configuration before the first change.
   *
   * @return an empty snapshot at revision 0
   */
  public static ConfigSnapshot empty() {
    return EMPTY;
  }

  /**
   * Creates a snapshot of resources that were read together.
   *
   * @param revision a revision at which all of them are in force
   * @param resources the resources
   * @return the snapshot
   */
  public static ConfigSnapshot of(long revision, List<Resource> resources) {
    Map<ResourceKind, Map<String, Resource>> byKind = new EnumMap<>(ResourceKind.class);
    resources.forEach(
        resource ->
            byKind
                .computeIfAbsent(resource.kind(), kind -> new TreeMap<>())
                .put(resource.name(), resource));
    return new ConfigSnapshot(revision, byKind);
  }

  /**
   * Applies later changes.
   *
   * <p>Changes that are not newer than the current state are ignored, so changes may arrive
   * repeatedly and from several sources without reverting anything.
   *
   * @param changes the changes, ordered by revision
   * @return a snapshot at the revision of the last change, or this one when no change was newer
   */
  public ConfigSnapshot with(List<Change> changes) {
    List<Change> newer = changes.stream().filter(change -> change.revision() > revision).toList();
    if (newer.isEmpty()) {
      return this;
    }
    Map<ResourceKind, Map<String, Resource>> copy = new EnumMap<>(ResourceKind.class);
    resources.forEach((kind, byName) -> copy.put(kind, new TreeMap<>(byName)));
    newer.forEach(change -> applyChange(copy, change));
    return new ConfigSnapshot(newer.get(newer.size() - 1).revision(), copy);
  }

  private static void applyChange(Map<ResourceKind, Map<String, Resource>> copy, Change change) {
    Map<String, Resource> byName = copy.computeIfAbsent(change.kind(), kind -> new TreeMap<>());
    Resource current = byName.get(change.name());
    if (current != null && current.revision() >= change.revision()) {
      return;
    }
    change
        .resource()
        .ifPresentOrElse(
            resource -> byName.put(change.name(), resource), () -> byName.remove(change.name()));
  }

  /**
   * Returns the revision.
   *
   * @return the revision of the last applied change
   */
  public long revision() {
    return revision;
  }

  /**
   * Finds a resource.
   *
   * @param kind its kind
   * @param name its name
   * @return the resource, or empty
   */
  public Optional<Resource> find(ResourceKind kind, String name) {
    return Optional.ofNullable(resources.getOrDefault(kind, Map.of()).get(name));
  }

  /**
   * Returns all resources of a kind.
   *
   * @param kind the kind
   * @return the resources, ordered by name
   */
  public List<Resource> list(ResourceKind kind) {
    return List.copyOf(resources.getOrDefault(kind, Map.of()).values());
  }

  /**
   * Finds a team.
   *
   * @param name the team's name
   * @return the team, or empty
   */
  public Optional<TeamSpec> team(String name) {
    return find(ResourceKind.TEAM, name).map(found -> (TeamSpec) found.spec());
  }

  /**
   * Finds a service.
   *
   * @param name the service's name
   * @return the service, or empty
   */
  public Optional<ServiceSpec> service(String name) {
    return find(ResourceKind.SERVICE, name).map(found -> (ServiceSpec) found.spec());
  }

  /**
   * Returns the budgets that a team may use for a service.
   *
   * @param team the team's name
   * @param service the service's name
   * @return the names of the budgets, ordered
   */
  public List<String> budgets(String team, String service) {
    return budgetsByTeam.getOrDefault(team, List.of()).stream()
        .filter(budget -> ((BudgetSpec) budget.spec()).covers(service))
        .map(Resource::name)
        .toList();
  }

  /**
   * Checks whether operators are evacuating a failure domain.
   *
   * @param domain the failure domain
   * @return true when its upstreams must get no new requests
   */
  public boolean isEvacuated(String domain) {
    return find(ResourceKind.EVACUATION, domain).isPresent();
  }

  /**
   * Returns the resources that refer to a resource.
   *
   * @param kind its kind
   * @param name its name
   * @return the referring resources
   */
  public List<Resource> dependents(ResourceKind kind, String name) {
    return switch (kind) {
      case TEAM -> budgetsByTeam.getOrDefault(name, List.of());
      case SERVICE ->
          Stream.concat(
                  list(ResourceKind.UPSTREAM).stream()
                      .filter(found -> ((UpstreamSpec) found.spec()).service().equals(name)),
                  list(ResourceKind.BUDGET).stream()
                      .filter(found -> ((BudgetSpec) found.spec()).services().contains(name)))
              .toList();
      default -> List.of();
    };
  }
}
