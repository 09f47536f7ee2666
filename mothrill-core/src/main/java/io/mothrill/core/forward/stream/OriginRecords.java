package io.mothrill.core.forward.stream;

import io.mothrill.core.time.Timers;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** The origins of streams that an instance has recorded; bounded and thread-safe. */
final class OriginRecords {

  /** Many times the streams that begin at three instances within a minute; 200 bytes each. */
  private static final int MAX_COUNT = 20_000;

  private static final long MAX_KEEP_MS = 120_000;

  /** The attempt of an origin whose first event has been relayed: later than any other. */
  static final int CERTAIN = Integer.MAX_VALUE;

  /** The attempt of an origin from the table, which may be older than one in memory. */
  static final int READ_FROM_TABLE = CERTAIN - 1;

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

  /** Returns the origins that this instance has been told of and whose first event was relayed. */
  synchronized Map<String, Entry> certain() {
    long nowMs = timers.nowMs();
    return entries.entrySet().stream()
        .filter(entry -> entry.getValue().attempt() == CERTAIN)
        .filter(entry -> entry.getValue().expiresMs() >= nowMs)
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
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
