package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** The crash records known to this instance; thread-safe. */
final class CrashRecords {

  /**
   * Maximum number of records: about 400 bytes each, 1.6 MB in total. Each crash of an upstream
   * adds the requests it was running, some tens. Records with the fewest and oldest crashes are
   * evicted first, so a caller with thousands of such requests evicts its own records with one
   * crash each.
   */
  private static final int MAX_RECORDS = 4_000;

  /** Records are evicted in batches, because finding the least relevant ones scans all records. */
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
   * Merges a record into the known one.
   *
   * @return the merged record
   */
  CrashRecord add(CrashRecord update, long nowMs) {
    CrashRecord merged = byRequest.merge(update.fingerprint(), update, CrashRecord::merge);
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
        .filter(evicted -> byRequest.remove(evicted.fingerprint(), evicted))
        .forEach(evicted -> droppedCount.incrementAndGet());
  }

  void removeExpired(long nowMs) {
    byRequest.values().removeIf(record -> record.isExpired(nowMs));
  }

  /** Lists the records that match a predicate, those with the newest crashes first. */
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
