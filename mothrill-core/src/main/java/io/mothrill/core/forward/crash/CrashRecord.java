package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The crashes known for one request; immutable.
 *
 * <pre>{@code
 * CrashRecord record = CrashRecord.of(fingerprint).with(crash);
 * boolean refuse = record.isQuarantined(nowMs);
 * }</pre>
 *
 * <p>Merging is a union that keeps the earliest report of each crash and the latest successful run.
 * Messages may therefore be lost, duplicated, late or out of order: instances that have received
 * the same reports have the same record.
 *
 * @param fingerprint the request
 * @param crashes the crashes that count, newest first, one per incarnation of an upstream
 * @param clearedMs the end of the last successful run; earlier crashes do not count
 */
public record CrashRecord(Fingerprint fingerprint, List<Crash> crashes, long clearedMs) {

  /** Number of crashes after which a request is sent to no upstream. */
  public static final int MAX_CRASHES = 3;

  /**
   * How long a request is refused after its last crash. This is long compared with the seconds that
   * replacing an upstream takes: a request that is repeated forever costs one upstream in ten
   * minutes, and operators have time to notice. It is short compared with a day, after which a new
   * version of the upstream may handle the request.
   */
  static final long QUARANTINE_MS = 600_000;

  /**
   * For this time after the quarantine, one more crash starts another quarantine of full length.
   */
  private static final long EXPIRY_MS = 2 * QUARANTINE_MS;

  /**
   * Crashes from before a successful run are reported seconds later at most; then the record can be
   * removed.
   */
  private static final long CLEARED_RETENTION_MS = 60_000;

  /** Far in the past, so that differences to it do not overflow. */
  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  /** Copies the crashes that count, newest first. */
  public CrashRecord {
    crashes = retained(crashes, clearedMs);
  }

  /**
   * More than are needed for a quarantine: a successful run may invalidate some of them, and those
   * of several suspects are compared.
   */
  static final int MAX_KEPT = 2 * MAX_CRASHES;

  private static List<Crash> retained(Collection<Crash> crashes, long clearedMs) {
    return crashes.stream()
        .filter(crash -> crash.atMs() > clearedMs)
        .sorted(Comparator.comparingLong(Crash::atMs).reversed())
        .limit(MAX_KEPT)
        .toList();
  }

  /**
   * Creates an empty record.
   *
   * @param fingerprint the request
   * @return a record without crashes
   */
  public static CrashRecord of(Fingerprint fingerprint) {
    return new CrashRecord(fingerprint, List.of(), NEVER_MS);
  }

  /**
   * Adds a crash; a crash that is already known is not counted twice.
   *
   * @param crash the crash
   * @return a record with the crash
   */
  public CrashRecord with(Crash crash) {
    return merge(new CrashRecord(fingerprint, List.of(crash), clearedMs));
  }

  /**
   * Records a successful run of the request, which shows that it did not cause the earlier crashes.
   *
   * @param atMs the end of the run
   * @return a record without the earlier crashes
   */
  public CrashRecord cleared(long atMs) {
    return new CrashRecord(fingerprint, crashes, Math.max(clearedMs, atMs));
  }

  /** Checks whether a crash is among those that count. */
  boolean includes(Crash crash) {
    return crashes.stream().anyMatch(crash::isSameAs);
  }

  /**
   * Merges another record of the same request into this one.
   *
   * @param other the other record
   * @return the merged record
   */
  public CrashRecord merge(CrashRecord other) {
    List<Crash> union = new ArrayList<>();
    Stream.concat(crashes.stream(), other.crashes.stream())
        .sorted(Comparator.comparingLong(Crash::atMs))
        .filter(crash -> union.stream().noneMatch(crash::isDuplicateOf))
        .forEachOrdered(union::add);
    return new CrashRecord(fingerprint, union, Math.max(clearedMs, other.clearedMs));
  }

  /**
   * Returns the number of crashes attributed to the request.
   *
   * @param nowMs the current time
   * @return the number of crashes; falls below the limit once the quarantine is over
   */
  public int countAt(long nowMs) {
    long quietMs = nowMs - lastCrashMs();
    if (quietMs >= EXPIRY_MS) {
      return 0;
    }
    return quietMs >= QUARANTINE_MS ? Math.min(MAX_CRASHES - 1, crashes.size()) : crashes.size();
  }

  /**
   * Checks whether the request must not be sent to any upstream.
   *
   * @param nowMs the current time
   * @return true while the request is refused
   */
  public boolean isQuarantined(long nowMs) {
    return countAt(nowMs) >= MAX_CRASHES;
  }

  /**
   * Returns the time until the request may be sent again.
   *
   * @param nowMs the current time
   * @return milliseconds from now; 0 if it may be sent
   */
  public long retryAfterMs(long nowMs) {
    return isQuarantined(nowMs) ? lastCrashMs() + QUARANTINE_MS - nowMs : 0;
  }

  /** Checks whether the record has no effect any more. */
  boolean isExpired(long nowMs) {
    return countAt(nowMs) == 0 && nowMs - clearedMs >= CLEARED_RETENTION_MS;
  }

  /** Returns the time of the last crash. */
  long lastCrashMs() {
    return crashes.isEmpty() ? NEVER_MS : crashes.get(0).atMs();
  }

  /** Checks whether a run has succeeded, which other instances have to be notified of. */
  boolean wasCleared() {
    return clearedMs > NEVER_MS;
  }

  /**
   * Describes the crashes for the log.
   *
   * @param nowMs the current time
   * @return the crashes with their reporters and ages
   */
  public String describe(long nowMs) {
    return crashes.stream()
        .map(
            crash ->
                crash.incarnation()
                    + " ended "
                    + (nowMs - crash.atMs())
                    + " ms ago, seen by "
                    + crash.reporter())
        .collect(Collectors.joining("; "));
  }
}
