package io.mothrill.core.forward.upstream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The loads of all upstreams; a process that starts again under its id begins without any. */
public final class UpstreamLoads {

  private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

  /**
   * Finds the load of an upstream, with none of it known at first.
   *
   * @param incarnation what {@link RegisteredUpstream#incarnation()} gives
   * @return its load
   */
  public UpstreamLoad of(String incarnation) {
    return loads.computeIfAbsent(incarnation, unused -> new UpstreamLoad());
  }

  /**
   * Forgets upstreams that have gone and have nothing under way, and tells requests that are under
   * way at a process that another one has followed.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    loads.entrySet().stream()
        .filter(entry -> list.isReplaced(entry.getKey()))
        .forEach(entry -> entry.getValue().notifyReplaced());
    loads
        .entrySet()
        .removeIf(
            entry ->
                !list.containsIncarnation(entry.getKey()) && entry.getValue().inFlightCount() == 0);
  }
}
