package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.List;
import java.util.Optional;

/**
 * A message between instances about requests under which upstreams crashed. Times are sent as ages,
 * because the clocks of instances are not synchronized.
 *
 * @param entries the requests; few enough for one datagram
 * @param requestsReply true if the sender requests the records of the receiver
 */
public record CrashMessage(List<Entry> entries, boolean requestsReply) {

  /**
   * Maximum number of requests in a message. With three crashes each takes about 175 bytes, so the
   * message fits into a datagram that no link fragments.
   */
  public static final int MAX_ENTRIES = 7;

  /** Copies the entries. */
  public CrashMessage {
    entries = List.copyOf(entries);
  }

  /**
   * The crash record of one request.
   *
   * @param fingerprint the request
   * @param crashes the crashes under it
   * @param clearedAgeMs the age of its last successful run, if there was one
   */
  public record Entry(
      Fingerprint fingerprint, List<CrashAge> crashes, Optional<Long> clearedAgeMs) {

    /** Copies the crashes. */
    public Entry {
      crashes = List.copyOf(crashes);
    }

    static Entry of(CrashRecord record, long nowMs) {
      return new Entry(
          record.fingerprint(),
          record.crashes().stream()
              .limit(CrashRecord.MAX_CRASHES)
              .map(crash -> CrashAge.of(crash, nowMs))
              .toList(),
          record.wasCleared() ? Optional.of(nowMs - record.clearedMs()) : Optional.empty());
    }

    CrashRecord toRecord(long nowMs) {
      CrashRecord empty = CrashRecord.of(fingerprint);
      CrashRecord cleared = clearedAgeMs.map(ageMs -> empty.cleared(nowMs - ageMs)).orElse(empty);
      return crashes.stream()
          .map(age -> new Crash(age.incarnation(), age.reporter(), nowMs - age.ageMs()))
          .reduce(cleared, CrashRecord::with, CrashRecord::merge);
    }
  }

  /**
   * One crash.
   *
   * @param incarnation the incarnation of the upstream that crashed
   * @param reporter the instance that detected the crash
   * @param ageMs the age of the crash
   */
  public record CrashAge(String incarnation, String reporter, long ageMs) {

    static CrashAge of(Crash crash, long nowMs) {
      return new CrashAge(crash.incarnation(), crash.reporter(), nowMs - crash.atMs());
    }
  }
}
