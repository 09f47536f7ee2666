package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A set of team or instance names whose entries expire after a fixed time. */
final class ExpiringSet {

  private final Timers timers;
  private final long ttlMs;
  private final Map<String, Long> addedMs = new ConcurrentHashMap<>();

  ExpiringSet(Timers timers, long ttlMs) {
    this.timers = timers;
    this.ttlMs = ttlMs;
  }

  void add(String name) {
    addedMs.put(name, timers.nowMs());
  }

  boolean contains(String name) {
    Long addedAtMs = addedMs.get(name);
    return addedAtMs != null && timers.nowMs() - addedAtMs < ttlMs;
  }
}
