package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers for a time that something was seen of a team or an instance. */
final class RecentMarks {

  private final Timers timers;
  private final long forMs;
  private final Map<String, Long> markedMs = new ConcurrentHashMap<>();

  RecentMarks(Timers timers, long forMs) {
    this.timers = timers;
    this.forMs = forMs;
  }

  void mark(String name) {
    markedMs.put(name, timers.nowMs());
  }

  boolean isRecent(String name) {
    Long sinceMs = markedMs.get(name);
    return sinceMs != null && timers.nowMs() - sinceMs < forMs;
  }
}
