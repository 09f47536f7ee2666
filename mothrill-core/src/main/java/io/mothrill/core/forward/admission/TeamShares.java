package io.mothrill.core.forward.admission;

import java.util.HashMap;
import java.util.Map;

/** Divides the limit of a full service among the teams that use it at this instance. */
final class TeamShares {

  /** How long computed demands are used, so that their cost does not grow with the request rate. */
  private static final long RECOMPUTE_MS = 20;

  private final Map<String, TeamUse> useByTeam = new HashMap<>();
  private double[] demands = {};
  private long computedAtMs = Long.MIN_VALUE / 2;

  TeamUse of(String team) {
    return useByTeam.computeIfAbsent(team, unused -> new TeamUse());
  }

  /**
   * Returns the number of requests in flight that no team may exceed.
   *
   * @param limit the number of requests in flight of all teams together
   * @param holdMs how long a request is in flight on average
   */
  double largestShare(double limit, double holdMs, long nowMs) {
    if (nowMs - computedAtMs >= RECOMPUTE_MS) {
      computedAtMs = nowMs;
      useByTeam.values().removeIf(use -> use.isIdle(nowMs));
      demands = useByTeam.values().stream().mapToDouble(use -> use.demand(holdMs, nowMs)).toArray();
    }
    return MaxMinShares.largestShare(demands, limit);
  }
}
