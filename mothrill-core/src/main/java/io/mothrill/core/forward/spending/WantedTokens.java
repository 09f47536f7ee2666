package io.mothrill.core.forward.spending;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What requests wait for, by team, until a row asks for it. */
final class WantedTokens {

  private final Map<String, Long> byTeam = new ConcurrentHashMap<>();

  void add(String team, long tokens) {
    byTeam.merge(team, tokens, Long::sum);
  }

  boolean isEmpty() {
    return byTeam.isEmpty();
  }

  /** Gives what requests wait for now. */
  Map<String, Long> current() {
    return Map.copyOf(byTeam);
  }

  /**
   * Takes what requests waited for when a renewal began, unless another one has taken it since.
   *
   * @param wantedAtStart what they waited for then
   * @return what is left of it
   */
  Map<String, Long> take(Map<String, Long> wantedAtStart) {
    Map<String, Long> taken = new HashMap<>();
    wantedAtStart.forEach(
        (team, tokens) ->
            byTeam.computeIfPresent(
                team,
                (name, current) -> {
                  long part = Math.min(current, tokens);
                  taken.put(name, part);
                  return current == part ? null : Long.valueOf(current - part);
                }));
    return taken;
  }
}
