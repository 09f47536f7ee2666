package io.mothrill.core.forward.upstream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The loads of all upstreams; a process that restarts under its id starts without a load. */
public final class UpstreamLoads {

  private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

  /**
   * Returns the load of an upstream, which is empty at first.
   *
   * @param incarnation a result of {@link RegisteredUpstream#incarnation()}
   * @return its load
   */
  public UpstreamLoad of(String incarnation) {
    return loads.computeIfAbsent(incarnation, unused -> new UpstreamLoad());
  }

  /**
   * Removes upstreams that are no longer registered and have no requests in flight, and notifies
   * requests in flight at a process that has been replaced.
   *
   * @param list the registered upstreams
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
