package io.mothrill.core.forward.admission;

import java.util.Map;
import java.util.TreeMap;

/** The priorities of recent requests, which determine what counts as urgent. */
final class PriorityUse {

  /** Longer than the pauses between the requests of any kind that is in use. */
  private static final long RETENTION_MS = 10_000;

  private final Map<Integer, Long> lastSeenMs = new TreeMap<>();

  void onRequest(int priority, long nowMs) {
    lastSeenMs.put(priority, nowMs);
    lastSeenMs.values().removeIf(seenMs -> nowMs - seenMs > RETENTION_MS);
  }

  /** Checks whether a priority belongs to the most urgent half, rounded down but at least one. */
  boolean isUrgent(int priority) {
    long moreUrgentCount = lastSeenMs.keySet().stream().filter(other -> other < priority).count();
    return moreUrgentCount < Math.max(1, lastSeenMs.size() / 2);
  }
}
