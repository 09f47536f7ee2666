package io.mothrill.core.forward.stream;

import io.mothrill.core.time.Timers;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The origins of streams whose first event was relayed, as far as an instance knows them; bounded
 * and thread-safe.
 */
final class OriginRecords {

  /** Many times the streams that begin at three instances within a minute; 200 bytes each. */
  private static final int MAX_COUNT = 20_000;

  private static final long MAX_KEEP_MS = 120_000;

  /** A stream that goes on is recorded again; what changes less than this is not news. */
  private static final long MIN_EXTENSION_MS = 1_000;

  private final Timers timers;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long longestKeepMs;
  private long longestUntilMs;

  /**
   * What is recorded of a stream.
   *
   * @param origins where it began; several if a caller began it again under the same id, and then
   *     nobody can tell which of them the caller holds events of
   * @param isStored whether the record was read from the table
   * @param expiresMs when it is dropped
   */
  record Entry(Set<StreamOrigin> origins, boolean isStored, long expiresMs) {

    Entry {
      origins = Set.copyOf(origins);
    }

    /** Returns the origin, if there is only one. */
    Optional<StreamOrigin> origin() {
      return only(origins);
    }

    static Optional<StreamOrigin> only(Set<StreamOrigin> origins) {
      return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
    }

    private boolean differsFrom(Entry known) {
      return !origins.equals(known.origins) || expiresMs - known.expiresMs >= MIN_EXTENSION_MS;
    }

    private Entry with(Entry later) {
      return new Entry(
          Stream.concat(origins.stream(), later.origins.stream())
              .collect(Collectors.toUnmodifiableSet()),
          isStored && later.isStored,
          Math.max(expiresMs, later.expiresMs));
    }
  }

  OriginRecords(Timers timers) {
    this.timers = timers;
  }

  /**
   * Records what an instance has told, which is this one or another.
   *
   * @return the record, if it has changed
   */
  Optional<Entry> add(String requestId, StreamOrigin origin, long keepMs) {
    return put(requestId, origin, false, keepMs);
  }

  /** Records what was read from the table. */
  void addStored(String requestId, StreamOrigin origin, long keepMs) {
    var unused = put(requestId, origin, true, keepMs);
  }

  private synchronized Optional<Entry> put(
      String requestId, StreamOrigin origin, boolean isStored, long keepMs) {
    long nowMs = timers.nowMs();
    long boundedKeepMs = Math.min(keepMs, MAX_KEEP_MS);
    if (boundedKeepMs >= longestKeepMs()) {
      longestKeepMs = boundedKeepMs;
      longestUntilMs = nowMs + boundedKeepMs;
    }
    Entry added = new Entry(Set.of(origin), isStored, nowMs + boundedKeepMs);
    Entry known = entries.remove(requestId);
    boolean isFirst = known == null || known.expiresMs() < nowMs;
    Entry current = isFirst ? added : known.with(added);
    entries.put(requestId, current);
    removeOldest(nowMs);
    return isFirst || current.differsFrom(known) ? Optional.of(current) : Optional.empty();
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

  /** Returns the records that this instance has been told of. */
  synchronized Map<String, Entry> told() {
    long nowMs = timers.nowMs();
    return entries.entrySet().stream()
        .filter(entry -> !entry.getValue().isStored())
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
