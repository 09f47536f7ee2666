package io.mothrill.core.forward.plan;

import java.util.List;

/**
 * One route: which requests it takes, where they go and how long they may take.
 *
 * @param name its name, unique in a plan
 * @param host the host that requests name, in lower case
 * @param prefix what the path begins with; begins and ends with a slash
 * @param kind what its requests are
 * @param targets the services behind it, with their weights
 * @param timeoutMs the longest time that a caller is kept waiting
 * @param targetLatencyMs the time to the answer, or to a stream's first event, that callers hope
 *     for
 * @param priority its rank; 0 is the most urgent
 * @param maxAttempts how many upstreams one request may run at
 * @param allowedRegions the regions in which its requests may be worked on
 * @param isPublic true when callers need no key
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    List<WeightedService> targets,
    long timeoutMs,
    long targetLatencyMs,
    int priority,
    int maxAttempts,
    AllowedRegions allowedRegions,
    boolean isPublic) {

  /** Takes a copy of the targets. */
  public Route {
    targets = List.copyOf(targets);
  }

  /**
   * Chooses a service by weight.
   *
   * @param point a number from 0 to 1, excluding 1
   * @return the service's name
   */
  public String selectService(double point) {
    int total = targets.stream().mapToInt(WeightedService::weight).sum();
    double left = point * total;
    for (WeightedService target : targets) {
      left -= target.weight();
      if (left < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
