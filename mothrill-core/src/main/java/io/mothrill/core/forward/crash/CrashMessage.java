package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.List;
import java.util.Optional;

/**
 * What one instance tells others about requests under which upstreams crashed. Times are ages, as
 * the clocks of instances have nothing in common.
 *
 * @param entries the requests; few enough for one datagram
 * @param requestsReply true when the sender wants to be told what the receiver knows
 */
public record CrashMessage(List<Entry> entries, boolean requestsReply) {

  /**
   * Most requests in a message: with three crashes each about 175 bytes, so that it fits into a
   * datagram that no link splits.
   */
  public static final int MAX_ENTRIES = 7;

  /** Takes a copy of the entries. */
  public CrashMessage {
    entries = List.copyOf(entries);
  }

  /**
   * What is known of one request.
   *
   * @param fingerprint the request
   * @param crashes the upstreams that ended under it
   * @param clearedAgeMs how long ago a run of it ended well, if one did
   */
  public record Entry(
      Fingerprint fingerprint, List<CrashAge> crashes, Optional<Long> clearedAgeMs) {

    /** Takes a copy of the crashes. */
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
   * @param incarnation the start of the upstream that ended
   * @param reporter the instance that saw it
   * @param ageMs how long ago
   */
  public record CrashAge(String incarnation, String reporter, long ageMs) {

    static CrashAge of(Crash crash, long nowMs) {
      return new CrashAge(crash.incarnation(), crash.reporter(), nowMs - crash.atMs());
    }
  }
}
