package io.mothrill.core.forward.plan;

import java.util.List;
import java.util.OptionalLong;

/**
 * A route: the requests it matches, their target services and their time limits.
 *
 * @param name its name, unique in a plan
 * @param host the host of matching requests, in lower case
 * @param prefix the prefix of matching paths; begins and ends with a slash
 * @param kind the kind of its requests
 * @param targets the target services with their weights
 * @param timeoutMs the maximum time a caller waits
 * @param targetLatencyMs the target time to the answer, or to the first event of a stream
 * @param maxPauseMs the longest pause between events of a stream that is still on time; empty if
 *     not declared
 * @param priority the priority; 0 is the most urgent
 * @param maxAttempts the maximum number of upstreams at which one request may run
 * @param regionRestriction the regions in which its requests may be processed
 * @param isPublic true if callers need no key
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    List<WeightedService> targets,
    long timeoutMs,
    long targetLatencyMs,
    OptionalLong maxPauseMs,
    int priority,
    int maxAttempts,
    RegionRestriction regionRestriction,
    boolean isPublic) {

  /** Copies the targets. */
  public Route {
    targets = List.copyOf(targets);
  }

  /**
   * Selects a service by weight.
   *
   * @param point a number from 0 to 1, excluding 1
   * @return the service's name
   */
  public String selectService(double point) {
    int total = targets.stream().mapToInt(WeightedService::weight).sum();
    double remaining = point * total;
    for (WeightedService target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
