package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The requests and parts of prompts under each of which three or more upstreams have crashed;
 * immutable.
 *
 * <pre>{@code
 * Suspects suspects = Suspects.of(records);
 * CrashVerdict verdict = suspects.judge(List.of(request, firstPart, secondPart), nowMs);
 * }</pre>
 *
 * <p>Several suspects may have been in the same crashed runs, and counting crashes does not tell
 * which of them is the cause. A request that has all of them is refused. A request that has only
 * some of them tells them apart: an answer clears those it has, and a crash identifies them in
 * favour of the others. It is therefore sent as a trial, one at a time in the fleet.
 *
 * <p>The result depends only on the records, not on the order in which they have been received, so
 * instances with the same records decide the same.
 */
final class Suspects {

  /** No suspects. */
  static final Suspects NONE = new Suspects(Map.of());

  /**
   * Time after the last crash until an identified suspect may be tried again, by the number of
   * crashes that only it explains. The upstream of a trial may have crashed for another reason, so
   * one or two such crashes do not prove anything. A suspect with more is refused until its
   * quarantine is over.
   */
  private static final List<Long> TRIAL_INTERVALS_MS = List.of(30_000L, 120_000L);

  /**
   * Time until all instances have most likely received a crash. Until then a crash that one suspect
   * seems to have alone may be missing only in the record of another one.
   */
  static final long SETTLE_MS = 600;

  private final Map<Fingerprint, Suspect> byFingerprint;

  /**
   * A suspect.
   *
   * @param record its crashes
   * @param provenCount the number of crashes after the last one that it shares with another suspect
   * @param cleared whether identified suspects explain its crashes
   */
  private record Suspect(CrashRecord record, int provenCount, boolean cleared) {

    boolean isIdentified() {
      return provenCount > 0;
    }

    /** Returns the time from which an identified suspect may be tried again. */
    long nextTrialMs() {
      return provenCount > TRIAL_INTERVALS_MS.size()
          ? Long.MAX_VALUE
          : record.lastCrashMs() + TRIAL_INTERVALS_MS.get(provenCount - 1);
    }
  }

  private Suspects(Map<Fingerprint, Suspect> byFingerprint) {
    this.byFingerprint = Map.copyOf(byFingerprint);
  }

  /**
   * Determines what the crashes of suspects say about them.
   *
   * @param quarantined the records with enough crashes to be refused
   * @param nowMs the current time
   * @return the suspects as known at this time
   */
  static Suspects of(Collection<CrashRecord> quarantined, long nowMs) {
    Map<CrashRecord, Integer> provenCounts =
        quarantined.stream()
            .collect(
                Collectors.toMap(
                    Function.identity(), record -> countSettled(record, quarantined, nowMs)));
    List<CrashRecord> identified =
        quarantined.stream().filter(record -> provenCounts.get(record) > 0).toList();
    return new Suspects(
        quarantined.stream()
            .collect(
                Collectors.toMap(
                    CrashRecord::fingerprint,
                    record ->
                        new Suspect(
                            record,
                            provenCounts.get(record),
                            provenCounts.get(record) == 0
                                && !isMoreThanChance(unexplained(record, identified))))));
  }

  private static int countSettled(
      CrashRecord record, Collection<CrashRecord> quarantined, long nowMs) {
    int provenCount = countProven(record, quarantined);
    boolean isSettled = nowMs - record.lastCrashMs() >= SETTLE_MS;
    return isSettled || provenCount >= CrashRecord.MAX_CRASHES ? provenCount : 0;
  }

  /**
   * Counts the crashes after the last one that the record shares with another suspect. An older
   * crash of its own may have had another reason.
   */
  private static int countProven(CrashRecord record, Collection<CrashRecord> quarantined) {
    List<CrashRecord> others = quarantined.stream().filter(other -> other != record).toList();
    return (int)
        record.crashes().stream()
            .sorted(Comparator.comparingLong(Crash::atMs).reversed())
            .takeWhile(crash -> others.stream().noneMatch(other -> other.includes(crash)))
            .count();
  }

  private static List<Crash> unexplained(CrashRecord record, Collection<CrashRecord> causes) {
    return record.crashes().stream()
        .filter(crash -> causes.stream().noneMatch(cause -> cause.includes(crash)))
        .toList();
  }

  private static boolean isMoreThanChance(List<Crash> crashes) {
    return crashes.size() >= CrashRecord.MAX_CRASHES;
  }

  boolean isEmpty() {
    return byFingerprint.isEmpty();
  }

  /**
   * Decides on a request.
   *
   * @param fingerprints the request and the parts of its prompt
   * @param nowMs the current time
   * @return the verdict
   */
  CrashVerdict judge(Collection<Fingerprint> fingerprints, long nowMs) {
    List<Suspect> present = isEmpty() ? List.of() : activeAmong(fingerprints, nowMs);
    if (present.isEmpty()) {
      return CrashVerdict.SEND;
    }
    List<CrashRecord> absent =
        byFingerprint.values().stream()
            .filter(suspect -> isActive(suspect, nowMs) && !present.contains(suspect))
            .map(Suspect::record)
            .toList();
    return present.stream()
        .map(suspect -> judgeSuspect(suspect, absent, nowMs))
        .max(
            Comparator.comparing(CrashVerdict::action)
                .thenComparingLong(CrashVerdict::retryAfterMs))
        .orElse(CrashVerdict.SEND);
  }

  private List<Suspect> activeAmong(Collection<Fingerprint> fingerprints, long nowMs) {
    return fingerprints.stream()
        .map(byFingerprint::get)
        .filter(Objects::nonNull)
        .filter(suspect -> isActive(suspect, nowMs))
        .toList();
  }

  private static boolean isActive(Suspect suspect, long nowMs) {
    return !suspect.cleared() && suspect.record().isQuarantined(nowMs);
  }

  private static CrashVerdict judgeSuspect(Suspect suspect, List<CrashRecord> absent, long nowMs) {
    CrashRecord record = suspect.record();
    if (suspect.isIdentified()) {
      return nowMs >= suspect.nextTrialMs()
          ? CrashVerdict.trial(record)
          : CrashVerdict.refuse(
              record, Math.min(suspect.nextTrialMs() - nowMs, retryAfterMs(record, nowMs)));
    }
    return isMoreThanChance(unexplained(record, absent))
        ? CrashVerdict.refuse(record, retryAfterMs(record, nowMs))
        : CrashVerdict.trial(record);
  }

  /** Once all reports have arrived, the same request may become a trial or be served. */
  private static long retryAfterMs(CrashRecord record, long nowMs) {
    return nowMs - record.lastCrashMs() < SETTLE_MS
        ? TrialQueue.REFUSED_RETRY_AFTER_MS
        : record.retryAfterMs(nowMs);
  }

  /**
   * Returns the number of crashes of a record that identified suspects do not explain.
   *
   * @param record the record
   * @param nowMs the current time
   * @return the number of crashes
   */
  int countUnexplained(CrashRecord record, long nowMs) {
    return Optional.ofNullable(byFingerprint.get(record.fingerprint()))
            .filter(Suspect::cleared)
            .isPresent()
        ? Math.min(record.countAt(nowMs), CrashRecord.MAX_CRASHES - 1)
        : record.countAt(nowMs);
  }

  /** Returns the suspects that are refused without a trial. */
  Set<Fingerprint> identified() {
    return select(Suspect::isIdentified);
  }

  /** Returns the suspects that have not been told apart. */
  Set<Fingerprint> undecided() {
    return select(suspect -> !suspect.isIdentified() && !suspect.cleared());
  }

  /** Returns the suspects that are served because identified ones explain their crashes. */
  Set<Fingerprint> cleared() {
    return select(Suspect::cleared);
  }

  private Set<Fingerprint> select(Predicate<Suspect> selected) {
    return byFingerprint.values().stream()
        .filter(selected)
        .map(suspect -> suspect.record().fingerprint())
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the records of the suspects that have a crash in common with a record. */
  Stream<CrashRecord> sharing(CrashRecord record) {
    return byFingerprint.values().stream()
        .map(Suspect::record)
        .filter(other -> !other.fingerprint().equals(record.fingerprint()))
        .filter(other -> record.crashes().stream().anyMatch(other::includes));
  }
}
