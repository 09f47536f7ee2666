package io.mothrill.core.forward.spending;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The tokens that requests are waiting for, by team, until a row requests them. */
final class WantedTokens {

  private final Map<String, Long> byTeam = new ConcurrentHashMap<>();

  void add(String team, long tokens) {
    byTeam.merge(team, tokens, Long::sum);
  }

  boolean isEmpty() {
    return byTeam.isEmpty();
  }

  /** Returns the tokens that requests are waiting for now. */
  Map<String, Long> current() {
    return Map.copyOf(byTeam);
  }

  /**
   * Removes the tokens that were wanted when a renewal started, unless another renewal has already
   * removed them.
   *
   * @param wantedAtStart the tokens that were wanted at that time
   * @return the tokens that were removed
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
