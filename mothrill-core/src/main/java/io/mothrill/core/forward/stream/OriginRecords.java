package io.mothrill.core.forward.stream;

import io.mothrill.core.time.Timers;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The origins of streams that an instance has recorded; bounded and thread-safe. */
final class OriginRecords {

  /** Many times the streams that begin at three instances within a minute; 200 bytes each. */
  private static final int MAX_COUNT = 20_000;

  private static final long MAX_KEEP_MS = 120_000;

  private final Timers timers;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long longestKeepMs;
  private long longestUntilMs;

  /** A recorded origin. */
  record Entry(StreamOrigin origin, int attempt, long expiresMs) {}

  OriginRecords(Timers timers) {
    this.timers = timers;
  }

  /** Records an origin, unless that of a later attempt is known. */
  synchronized void add(String requestId, StreamOrigin origin, int attempt, long keepMs) {
    long nowMs = timers.nowMs();
    if (keepMs >= longestKeepMs()) {
      longestKeepMs = keepMs;
      longestUntilMs = nowMs + keepMs;
    }
    Entry known = entries.remove(requestId);
    boolean isLater = known == null || attempt >= known.attempt() || known.expiresMs() < nowMs;
    Entry added = new Entry(origin, attempt, nowMs + Math.min(keepMs, MAX_KEEP_MS));
    entries.put(requestId, isLater ? added : known);
    removeOldest(nowMs);
  }

  private void removeOldest(long nowMs) {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (entry.expiresMs() >= nowMs && entries.size() <= MAX_COUNT) {
        return;
      }
      oldest.remove();
    }
  }

  synchronized Optional<Entry> find(String requestId) {
    return Optional.ofNullable(entries.get(requestId))
        .filter(entry -> entry.expiresMs() >= timers.nowMs());
  }

  /**
   * Returns the longest time for which one of the streams that may be going on may be taken up. A
   * plan that shortens the timeout of a route does not shorten those that have begun.
   */
  synchronized long longestKeepMs() {
    return longestUntilMs >= timers.nowMs() ? longestKeepMs : 0;
  }

  synchronized int count() {
    return entries.size();
  }
}
