package io.mothrill.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The queued calls of one class, served round-robin by team.
 *
 * <p>Each team has a queue of its own and the teams take turns. With one queue for all, a single
 * large team could fill it, and nine small teams would wait behind all of its calls.
 *
 * @param <T> the type of a queued call
 */
final class TeamQueue<T> {

  private final Map<String, Deque<T>> byTeam = new LinkedHashMap<>();
  private int size;

  int size() {
    return size;
  }

  void add(String team, T call) {
    byTeam.computeIfAbsent(team, name -> new ArrayDeque<>()).addLast(call);
    size++;
  }

  /**
   * Removes and returns the first call, in the order of the teams' turns, that satisfies a
   * condition.
   */
  Optional<T> pollFirst(Predicate<T> condition) {
    for (String team : new ArrayList<>(byTeam.keySet())) {
      T head = byTeam.get(team).peekFirst();
      if (condition.test(head)) {
        byTeam.get(team).removeFirst();
        endTurn(team);
        size--;
        return Optional.of(head);
      }
    }
    return Optional.empty();
  }

  private void endTurn(String team) {
    Deque<T> calls = byTeam.remove(team);
    if (!calls.isEmpty()) {
      byTeam.put(team, calls);
    }
  }

  boolean remove(String team, T call) {
    Deque<T> calls = byTeam.get(team);
    boolean removed = calls != null && calls.remove(call);
    if (removed) {
      size--;
    }
    if (calls != null && calls.isEmpty()) {
      byTeam.remove(team);
    }
    return removed;
  }

  List<T> all() {
    return byTeam.values().stream().flatMap(Deque::stream).toList();
  }
}
