package io.mothrill.core.forward.stream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.WallClockStoreClock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

// Guards against taking a version for the only one that can have begun a stream although another
// one may have served unseen.
class ServedVersionsTest {

  private static final String SERVICE = "asistan";
  private static final long WITHIN_MS = 17_000;

  /** Upstreams that have left the list serve on for up to 20 s. */
  private static final long KNOWN_AFTER_MS = WITHIN_MS + 21_000;

  private final ManualTimers timers = new ManualTimers();
  private UpstreamList registered = list("v1");
  private boolean isReachable = true;
  private final PolledUpstreamList upstreams =
      new PolledUpstreamList(() -> registered, () -> isReachable, timers);
  private final ServedVersions served =
      new ServedVersions(upstreams.published(), upstreams, new WallClockStoreClock(timers), timers);

  private static UpstreamList list(String... versions) {
    return new UpstreamList(Stream.of(versions).map(ServedVersionsTest::upstream).toList());
  }

  private static RegisteredUpstream upstream(String version) {
    return new RegisteredUpstream(
        "i-" + version,
        SERVICE,
        version,
        "10.0.0.1",
        80,
        "d0",
        6,
        false,
        OptionalLong.empty(),
        RegistrationVersion.UNKNOWN);
  }

  private Optional<String> onlyVersion(VersionSpan... others) {
    long nowMs = timers.wallMs();
    var refreshed = served.refresh();
    timers.advanceMs(10);
    return refreshed.isDone()
        ? served.onlyVersion(SERVICE, nowMs - WITHIN_MS, refreshed.join(), List.of(others))
        : Optional.empty();
  }

  private void cutForMs(long durationMs) {
    isReachable = false;
    timers.advanceMs(durationMs);
    isReachable = true;
  }

  @Test
  void versionThatServedForTheWholeTimeIsTheOnlyOne() {
    timers.advanceMs(KNOWN_AFTER_MS);

    assertThat(onlyVersion()).hasValue("v1");
  }

  // What served before the first list was read is unknown.
  @Test
  void timeBeginsWithTheFirstList() {
    timers.advanceMs(WITHIN_MS);

    assertThat(onlyVersion()).isEmpty();
  }

  // A version that has registered since the last read of the list is found before it is answered.
  @Test
  void listIsReadAgain() {
    timers.advanceMs(KNOWN_AFTER_MS);
    registered = list("v1", "v1.1");

    assertThat(onlyVersion()).isEmpty();
  }

  // A list that was complete before the question does not answer it.
  @Test
  void listFromBeforeTheQuestionDoesNotCount() {
    timers.advanceMs(KNOWN_AFTER_MS);
    long nowMs = timers.wallMs();

    assertThat(served.onlyVersion(SERVICE, nowMs - WITHIN_MS, nowMs + 1, List.of())).isEmpty();
  }

  // While the list cannot be read, a version may begin streams and leave again, also if the cut
  // was never observed.
  @Test
  void versionsOfTheTimeWithoutConfirmationAreUnknown() {
    timers.advanceMs(KNOWN_AFTER_MS);
    cutForMs(5_000);
    timers.advanceMs(WITHIN_MS);

    assertThat(onlyVersion()).isEmpty();

    timers.advanceMs(KNOWN_AFTER_MS);
    assertThat(onlyVersion()).hasValue("v1");
  }

  // A list that is confirmed late, but in time, leaves no version unseen for long.
  @Test
  void shortDelayOfConfirmationDoesNotMatter() {
    timers.advanceMs(KNOWN_AFTER_MS);
    cutForMs(1_200);

    assertThat(onlyVersion()).hasValue("v1");
  }

  // An upstream that has left the list serves on for instances that cannot read it.
  @Test
  void versionThatHasLeftCountsForLonger() {
    registered = list("v1", "v1.1");
    timers.advanceMs(KNOWN_AFTER_MS);
    registered = list("v1.1");
    timers.advanceMs(WITHIN_MS + 1_000);

    assertThat(onlyVersion()).isEmpty();

    timers.advanceMs(KNOWN_AFTER_MS);
    assertThat(onlyVersion()).hasValue("v1.1");
  }

  // What other instances have had in their lists counts only up to where the own list begins.
  @Test
  void othersTellWhatServedBeforeTheFirstList() {
    timers.advanceMs(3_000);
    long nowMs = timers.wallMs();
    long longAgoMs = nowMs - 2 * KNOWN_AFTER_MS;

    assertThat(onlyVersion(new VersionSpan("v1", longAgoMs, nowMs - 2_000))).hasValue("v1");
    assertThat(onlyVersion(new VersionSpan("v1.1", longAgoMs, nowMs - 2_000))).isEmpty();
    assertThat(onlyVersion(new VersionSpan("v1", longAgoMs, nowMs - 6_000))).isEmpty();
    assertThat(onlyVersion(new VersionSpan("v1", nowMs - WITHIN_MS, nowMs - 2_000))).isEmpty();
  }

  // While the list cannot tell the version of a stream, origins have to be written to the table, or
  // nobody knows them after a kill of all instances.
  @Test
  void originsAreWrittenAsLongAsTheListDoesNotTellThem() {
    registered = list("v1", "v1.1");
    timers.advanceMs(KNOWN_AFTER_MS);
    registered = list("v1.1");
    timers.advanceMs(WITHIN_MS + 10_000);

    assertThat(onlyVersion()).isEmpty();
    assertThat(served.mayHaveSeveral(SERVICE, WITHIN_MS)).isTrue();
  }
}
