package io.mothrill.core.forward.plan;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the declared configuration for forwarding; immutable.
 *
 * <pre>{@code
 * Optional<Route> route = plan.findRoute("counter.example", "/status/7");
 * Optional<TeamPlan> team = plan.findTeamByKey("n2ctnfzs989anu6wsjnb");
 * }</pre>
 */
public final class ForwardingPlan {

  private static final ForwardingPlan UNKNOWN =
      new ForwardingPlan(0, List.of(), List.of(), List.of(), CallerBounds.standard());

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServicePlan> services;
  private final Map<String, TeamPlan> teamsByName;
  private final Map<String, TeamPlan> teamsByKey = new HashMap<>();
  private final CallerBounds bounds;

  /**
   * Creates a plan.
   *
   * @param version the version, at least 1
   * @param routes the routes
   * @param services the services
   * @param teams the teams; if empty, no request needs a key
   * @param bounds the limits on callers' requests
   * @throws InvalidInputException if two services or two teams have the same name
   */
  public ForwardingPlan(
      long version,
      List<Route> routes,
      List<ServicePlan> services,
      List<TeamPlan> teams,
      CallerBounds bounds) {
    this.version = version;
    this.routesByHost =
        routes.stream()
            .sorted(Comparator.comparingInt((Route route) -> route.prefix().length()).reversed())
            .collect(Collectors.groupingBy(Route::host));
    this.services = byName("services", services, ServicePlan::name);
    this.teamsByName = byName("teams", teams, TeamPlan::name);
    teams.forEach(team -> team.keys().forEach(key -> teamsByKey.put(key, team)));
    this.bounds = bounds;
  }

  private static <T> Map<String, T> byName(
      String field, List<T> declared, Function<T, String> nameOf) {
    Map<String, T> byName = new HashMap<>();
    for (T one : declared) {
      String name = nameOf.apply(one);
      if (byName.put(name, one) != null) {
        throw InvalidInputException.of(FieldError.refused(field, "has '" + name + "' twice"));
      }
    }
    return byName;
  }

  /**
   * Returns the plan in force before any was read.
   *
   * @return a plan with version 0
   */
  public static ForwardingPlan unknown() {
    return UNKNOWN;
  }

  /**
   * Checks whether a plan has been read.
   *
   * @return false for the initial plan
   */
  public boolean isKnown() {
    return version > 0;
  }

  /**
   * Returns the version.
   *
   * @return a number that only increases
   */
  public long version() {
    return version;
  }

  /**
   * Returns all routes.
   *
   * @return the routes, in no particular order
   */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Finds the route of a request: the one with the longest matching prefix for its host.
   *
   * @param host the host, in lower case and without a port
   * @param path the path, without a query
   * @return the route, or empty if none matches
   */
  public Optional<Route> findRoute(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  /**
   * Finds a service.
   *
   * @param name its name
   * @return the service, or empty if there is none with this name
   */
  public Optional<ServicePlan> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds the team that has a key.
   *
   * @param key the key from the caller's request
   * @return the team, or empty if no team has the key
   */
  public Optional<TeamPlan> findTeamByKey(String key) {
    return Optional.ofNullable(teamsByKey.get(key));
  }

  /**
   * Finds a team by name.
   *
   * @param name its name
   * @return the team, or empty if there is none with this name
   */
  public Optional<TeamPlan> findTeam(String name) {
    return Optional.ofNullable(teamsByName.get(name));
  }

  /**
   * Returns all teams.
   *
   * @return the teams, in no particular order
   */
  public Collection<TeamPlan> teams() {
    return teamsByName.values();
  }

  /**
   * Returns the limits on callers' requests.
   *
   * @return the limits
   */
  public CallerBounds bounds() {
    return bounds;
  }
}
