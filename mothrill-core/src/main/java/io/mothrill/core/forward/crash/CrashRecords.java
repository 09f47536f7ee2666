package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** The requests under which upstreams crashed, as far as this instance knows; any thread. */
final class CrashRecords {

  /**
   * Most requests that are kept: about 400 bytes each, 1.6 MB in all. Each crash of an upstream
   * adds the requests that it had, some tens; those with the fewest and oldest crashes go first, so
   * a caller with thousands of such requests pushes out its own single crashes.
   */
  private static final int MAX_RECORDS = 4_000;

  /** Room is made for some at a time, as finding the least looks at all. */
  private static final int EVICTION_BATCH = 200;

  private final Map<Fingerprint, CrashRecord> byRequest = new ConcurrentHashMap<>();
  private final AtomicLong droppedCount = new AtomicLong();

  boolean isEmpty() {
    return byRequest.isEmpty();
  }

  Optional<CrashRecord> find(Fingerprint fingerprint) {
    return Optional.ofNullable(byRequest.get(fingerprint));
  }

  /**
   * Adds what is newly known of a request.
   *
   * @return the record with it
   */
  CrashRecord add(CrashRecord news, long nowMs) {
    CrashRecord merged = byRequest.merge(news.fingerprint(), news, CrashRecord::merge);
    if (byRequest.size() > MAX_RECORDS) {
      evictLeastRelevant(nowMs);
    }
    return merged;
  }

  private void evictLeastRelevant(long nowMs) {
    byRequest.values().stream()
        .sorted(
            Comparator.comparingInt((CrashRecord record) -> record.countAt(nowMs))
                .thenComparingLong(CrashRecord::lastCrashMs))
        .limit(EVICTION_BATCH)
        .filter(least -> byRequest.remove(least.fingerprint(), least))
        .forEach(least -> droppedCount.incrementAndGet());
  }

  void removeExpired(long nowMs) {
    byRequest.values().removeIf(record -> record.isExpired(nowMs));
  }

  /** Lists the records that a test accepts, those with the newest crashes first. */
  List<CrashRecord> list(Predicate<CrashRecord> accepted, int limit) {
    return byRequest.values().stream()
        .filter(accepted)
        .sorted(Comparator.comparingLong(CrashRecord::lastCrashMs).reversed())
        .limit(limit)
        .toList();
  }

  long count(Predicate<CrashRecord> accepted) {
    return byRequest.values().stream().filter(accepted).count();
  }

  long droppedCount() {
    return droppedCount.get();
  }
}
