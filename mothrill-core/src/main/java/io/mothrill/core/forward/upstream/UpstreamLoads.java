package io.mothrill.core.forward.upstream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The loads of all upstreams by id. */
public final class UpstreamLoads {

  private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

  /**
   * Finds the load of an upstream, with none of it known at first.
   *
   * @param id the upstream's id
   * @return its load
   */
  public UpstreamLoad of(String id) {
    return loads.computeIfAbsent(id, unused -> new UpstreamLoad());
  }

  /**
   * Forgets upstreams that have gone and have nothing under way.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    loads
        .entrySet()
        .removeIf(entry -> !list.contains(entry.getKey()) && entry.getValue().underWayCount() == 0);
  }
}
