package io.mothrill.core.forward.crash;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CrashRecordTest {

  private static final Fingerprint REQUEST = new Fingerprint(1, 2);
  private static final long NOW_MS = 100_000;

  private static Crash crash(String incarnation, long atMs) {
    return new Crash(incarnation, "konya-1", atMs);
  }

  private static CrashRecord record(Crash... crashes) {
    return List.of(crashes).stream()
        .reduce(CrashRecord.of(REQUEST), CrashRecord::with, CrashRecord::merge);
  }

  private static CrashRecord threeCrashes() {
    return record(
        crash("i-1@0", NOW_MS - 2_000), crash("i-2@0", NOW_MS - 1_000), crash("i-3@0", NOW_MS));
  }

  @Test
  void isQuarantinedAfterThreeCrashes() {
    assertThat(record(crash("i-1@0", 0), crash("i-2@0", 1)).isQuarantined(NOW_MS)).isFalse();
    assertThat(threeCrashes().isQuarantined(NOW_MS)).isTrue();
  }

  // Several instances had the request running at the same upstream, or a report was duplicated: it
  // is one crash.
  @Test
  void countsEachCrashOnce() {
    CrashRecord record = record(crash("i-1@0", 500), crash("i-1@0", 520), crash("i-1@0", 500));

    assertThat(record.countAt(NOW_MS)).isEqualTo(1);
  }

  // An upstream that does not report its start time restarts under the same name and crashes again.
  @Test
  void countsLaterCrashOfTheSameName() {
    CrashRecord record =
        record(crash("i-1@0", 1_000), crash("i-1@0", 5_000), crash("i-1@0", 9_000));

    assertThat(record.isQuarantined(NOW_MS)).isTrue();
  }

  // A successful run shows that the request did not cause the earlier crashes.
  @Test
  void isServedAgainAfterSuccessfulRun() {
    CrashRecord cleared = threeCrashes().cleared(NOW_MS + 1);

    assertThat(cleared.isQuarantined(NOW_MS + 1)).isFalse();
    assertThat(cleared.merge(threeCrashes()).isQuarantined(NOW_MS + 1)).isFalse();
  }

  @Test
  void crashesAfterSuccessfulRunCountFromZero() {
    CrashRecord cleared = threeCrashes().cleared(NOW_MS + 1);

    assertThat(cleared.with(crash("i-4@0", NOW_MS + 2)).countAt(NOW_MS + 2)).isEqualTo(1);
  }

  // The request may be sent once the quarantine is over; one more crash starts the quarantine
  // again.
  @Test
  void oneMoreCrashAfterTheQuarantineRestartsIt() {
    long laterMs = NOW_MS + CrashRecord.QUARANTINE_MS;

    assertThat(threeCrashes().retryAfterMs(NOW_MS)).isEqualTo(CrashRecord.QUARANTINE_MS);
    assertThat(threeCrashes().isQuarantined(laterMs)).isFalse();
    assertThat(threeCrashes().with(crash("i-9@0", laterMs)).isQuarantined(laterMs)).isTrue();
  }

  @Test
  void expires() {
    assertThat(threeCrashes().isExpired(NOW_MS + CrashRecord.QUARANTINE_MS)).isFalse();
    assertThat(threeCrashes().isExpired(NOW_MS + 3 * CrashRecord.QUARANTINE_MS)).isTrue();
  }

  // Reports arrive late, duplicated and in any order. All instances that have received the same
  // reports must have equal records.
  @Property(tries = 300, seed = "27003")
  void anyOrderOfReportsLeadsToTheSameRecord(
      @ForAll @Size(max = 8) List<@IntRange(min = 1, max = 5) Integer> upstreams,
      @ForAll @IntRange(max = 9) int clearedS) {
    List<CrashRecord> reports =
        upstreams.stream()
            .map(number -> CrashRecord.of(REQUEST).with(crash("i-" + number, number * 1_000L)))
            .toList();
    CrashRecord cleared = CrashRecord.of(REQUEST).cleared(clearedS * 1_000L);

    CrashRecord forwards = reports.stream().reduce(cleared, CrashRecord::merge);
    CrashRecord backwards = CrashRecord.of(REQUEST);
    for (int place = reports.size() - 1; place >= 0; place--) {
      backwards = backwards.merge(reports.get(place)).merge(reports.get(place));
    }

    assertThat(backwards.merge(cleared)).isEqualTo(forwards);
  }
}
