package io.mothrill.core.forward.stream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

// Guards against taking a version for the only one that can have begun a stream although another
// one may have served unseen.
class ServedVersionsTest {

  private static final String SERVICE = "asistan";
  private static final long WITHIN_MS = 17_000;

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private long confirmedMs;
  private boolean isConfirmed = true;
  private final ServedVersions served = new ServedVersions(upstreams, this::listAgeMs, timers);

  private long listAgeMs() {
    return isConfirmed ? 0 : timers.nowMs() - confirmedMs;
  }

  private void stopConfirming() {
    confirmedMs = timers.nowMs();
    isConfirmed = false;
  }

  private void register(String version) {
    upstreams.publish(
        new UpstreamList(
            List.of(
                new RegisteredUpstream(
                    "i-" + version,
                    SERVICE,
                    version,
                    "10.0.0.1",
                    80,
                    "d0",
                    6,
                    false,
                    OptionalLong.empty(),
                    RegistrationVersion.UNKNOWN))));
  }

  @Test
  void versionThatServedForTheWholeTimeIsTheOnlyOne() {
    register("v1");
    timers.advanceMs(WITHIN_MS);

    assertThat(served.onlyVersion(SERVICE, WITHIN_MS)).hasValue("v1");
  }

  // The first list comes from the memory of another instance. Until this instance has read the
  // list itself, a version that is not in it may begin streams and leave again.
  @Test
  void timeDoesNotBeginWithAnUnconfirmedList() {
    confirmedMs = -10_000;
    isConfirmed = false;
    register("v1");
    timers.advanceMs(3_000);
    isConfirmed = true;
    timers.advanceMs(WITHIN_MS - 1_000);

    assertThat(served.onlyVersion(SERVICE, WITHIN_MS)).isEmpty();

    timers.advanceMs(2_000);
    assertThat(served.onlyVersion(SERVICE, WITHIN_MS)).hasValue("v1");
  }

  // While the list cannot be read, a version may begin streams and leave again.
  @Test
  void versionsOfTheTimeWithoutConfirmationAreUnknown() {
    register("v1");
    timers.advanceMs(2 * WITHIN_MS);
    stopConfirming();
    timers.advanceMs(5_000);
    isConfirmed = true;
    timers.advanceMs(1_000);

    assertThat(served.onlyVersion(SERVICE, WITHIN_MS)).isEmpty();

    timers.advanceMs(WITHIN_MS);
    assertThat(served.onlyVersion(SERVICE, WITHIN_MS)).hasValue("v1");
  }

  // A list that is confirmed late, but in time, leaves no version unseen for long.
  @Test
  void shortDelayOfConfirmationDoesNotMatter() {
    register("v1");
    timers.advanceMs(2 * WITHIN_MS);
    stopConfirming();
    timers.advanceMs(1_500);
    isConfirmed = true;

    assertThat(served.onlyVersion(SERVICE, WITHIN_MS)).hasValue("v1");
  }
}
