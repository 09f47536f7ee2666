package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What is known of one request under which upstreams crashed; immutable.
 *
 * <pre>{@code
 * CrashRecord record = CrashRecord.of(fingerprint).with(crash);
 * boolean refuse = record.isQuarantined(nowMs);
 * }</pre>
 *
 * <p>Merging is a union that keeps the earlier report of each crash and the later sign of
 * innocence, so messages may be lost, doubled, late or out of order: whoever has heard the same
 * facts believes the same.
 *
 * @param fingerprint the request
 * @param crashes the crashes that count, newest first, one for each start of an upstream
 * @param clearedMs when a run of the request last ended well; crashes before that do not count
 */
public record CrashRecord(Fingerprint fingerprint, List<Crash> crashes, long clearedMs) {

  /** Upstreams that may end under a request before it is sent to none. */
  public static final int MAX_CRASHES = 3;

  /**
   * How long a request is refused after its last crash. Long against the seconds in which an
   * upstream is replaced: a request that comes without end costs one upstream in ten minutes, and
   * operators have the time to see it. Short against a day, in which a new version of the upstream
   * may bear it.
   */
  static final long QUARANTINE_MS = 600_000;

  /** After the quarantine one more crash brings it back, for as long again. */
  private static final long EXPIRY_MS = 2 * QUARANTINE_MS;

  /** Reports of crashes before a good run come seconds later at the most; then it is forgotten. */
  private static final long CLEARED_RETENTION_MS = 60_000;

  /** Far in the past, so that the differences to it do not overflow. */
  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  /** Takes a copy of the crashes that count, newest first. */
  public CrashRecord {
    crashes = retained(crashes, clearedMs);
  }

  /** One more than are needed, in case a sign of innocence takes some of them away. */
  private static final int MAX_KEPT = MAX_CRASHES + 1;

  private static List<Crash> retained(Collection<Crash> crashes, long clearedMs) {
    return crashes.stream()
        .filter(crash -> crash.atMs() > clearedMs)
        .sorted(Comparator.comparingLong(Crash::atMs).reversed())
        .limit(MAX_KEPT)
        .toList();
  }

  /**
   * Begins a record.
   *
   * @param fingerprint the request
   * @return a record of no crash
   */
  public static CrashRecord of(Fingerprint fingerprint) {
    return new CrashRecord(fingerprint, List.of(), NEVER_MS);
  }

  /**
   * Adds a crash; one that is known already is not counted again.
   *
   * @param crash the crash
   * @return a record with it
   */
  public CrashRecord with(Crash crash) {
    return merge(new CrashRecord(fingerprint, List.of(crash), clearedMs));
  }

  /**
   * Notes that a run of the request has ended well: what crashed before was not its fault.
   *
   * @param atMs when it ended
   * @return a record without the crashes before
   */
  public CrashRecord cleared(long atMs) {
    return new CrashRecord(fingerprint, crashes, Math.max(clearedMs, atMs));
  }

  /**
   * Adds what another record of the same request knows.
   *
   * @param other the other record
   * @return a record of both
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
   * Counts the crashes that speak against the request.
   *
   * @param nowMs the time
   * @return a count; falls below the limit once the quarantine is over
   */
  public int countAt(long nowMs) {
    long quietMs = nowMs - lastCrashMs();
    if (quietMs >= EXPIRY_MS) {
      return 0;
    }
    return quietMs >= QUARANTINE_MS ? Math.min(MAX_CRASHES - 1, crashes.size()) : crashes.size();
  }

  /**
   * Says whether the request is to be sent to no upstream.
   *
   * @param nowMs the time
   * @return true while it is refused
   */
  public boolean isQuarantined(long nowMs) {
    return countAt(nowMs) >= MAX_CRASHES;
  }

  /**
   * Says when the request may be tried again.
   *
   * @param nowMs the time
   * @return milliseconds from now; 0 when it may be tried
   */
  public long retryAfterMs(long nowMs) {
    return isQuarantined(nowMs) ? lastCrashMs() + QUARANTINE_MS - nowMs : 0;
  }

  /** Says whether nothing in it matters any more. */
  boolean isExpired(long nowMs) {
    return countAt(nowMs) == 0 && nowMs - clearedMs >= CLEARED_RETENTION_MS;
  }

  /** Gives when the last crash was. */
  long lastCrashMs() {
    return crashes.isEmpty() ? NEVER_MS : crashes.get(0).atMs();
  }

  /** Says whether a run has ended well, so that others have to be told. */
  boolean wasCleared() {
    return clearedMs > NEVER_MS;
  }

  /**
   * Tells the evidence, for the log.
   *
   * @param nowMs the time
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
