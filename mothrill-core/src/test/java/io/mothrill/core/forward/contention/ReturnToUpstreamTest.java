package io.mothrill.core.forward.contention;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against all instances returning to an upstream at the same moment. */
class ReturnToUpstreamTest {

  private static final int INSTANCES = 100;
  private static final long WAIT_MS = 800;
  private static final String UPSTREAM = "i-1@0";

  private final List<UpstreamContention> instances =
      IntStream.range(0, INSTANCES)
          .mapToObj(number -> new UpstreamContention(new Random(number * 7_919L)))
          .toList();

  private long returnedCount(long atMs) {
    return instances.stream().filter(instance -> instance.waitMs(UPSTREAM, atMs) == 0).count();
  }

  @Test
  void instancesReturnOneAfterTheOtherInTheSecondHalfOfTheWait() {
    // WHEN
    instances.forEach(instance -> instance.onReportedWait(UPSTREAM, WAIT_MS, 0));
    // THEN
    assertThat(returnedCount(WAIT_MS / 2 - 1)).isEqualTo(0);
    assertThat(returnedCount(WAIT_MS)).isEqualTo(INSTANCES);
    for (long atMs = WAIT_MS / 2; atMs < WAIT_MS; atMs += WAIT_MS / 8) {
      assertThat(returnedCount(atMs + WAIT_MS / 8) - returnedCount(atMs)).isAtMost(INSTANCES / 2);
    }
  }

  @Test
  void quickResponseEndsTheWaitOnlyIfItsRequestWasSentLater() {
    // GIVEN
    UpstreamContention instance = instances.get(0);
    instance.onReportedWait(UPSTREAM, WAIT_MS, 100);
    // WHEN
    instance.onObservedWait(UPSTREAM, 0, 90, 110);
    // THEN
    assertThat(instance.waitMs(UPSTREAM, 110)).isEqualTo(WAIT_MS - 10.0);
    // WHEN
    instance.onObservedWait(UPSTREAM, 0, 120, 140);
    // THEN
    assertThat(instance.waitMs(UPSTREAM, 140)).isEqualTo(0);
  }

  @Test
  void slowdownFadesWithin600Ms() {
    UpstreamContention instance = instances.get(0);
    instance.onSlowdown(UPSTREAM, 3, 0);

    assertThat(instance.slowdown(UPSTREAM, 300)).isWithin(0.01).of(2);
    assertThat(instance.slowdown(UPSTREAM, 600)).isEqualTo(1);
  }
}
