package io.mothrill.core.forward.contention;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.platform.InstanceRecord;
import java.util.Collections;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against floods of datagrams, which keep small instances busy. */
class ContentionBroadcastTest {

  private static final InstanceRecord PEER =
      new InstanceRecord("e-1", "e-1", "konya", "10.2.0.1", 1, false);

  private final ManualTimers timers = new ManualTimers();
  private long datagramCount;
  private final ContentionBroadcast broadcast =
      new ContentionBroadcast(
          PEER,
          () -> Collections.nCopies(1_700, PEER),
          (report, to) -> datagramCount += to.size(),
          timers);

  private static ContentionReport report(int upstream, long waitMs) {
    return new ContentionReport(
        "i-" + upstream + "@0",
        waitMs,
        OptionalDouble.empty(),
        OptionalInt.empty(),
        OptionalInt.empty());
  }

  @Test
  void oneUpstreamIsReportedAtMostOnceIn100Ms() {
    for (int atMs = 0; atMs < 1_000; atMs++) {
      broadcast.offer(report(1, 100 + 10L * atMs));
      timers.advanceMs(1);
    }
    assertThat(broadcast.sentCount()).isIn(com.google.common.collect.Range.closed(3L, 10L));
  }

  @Test
  void nothingIsSentSoonAfterReportOfAnotherInstance() {
    // GIVEN
    broadcast.onReceived(report(1, 500));
    // WHEN
    timers.advanceMs(90);
    broadcast.offer(report(1, 5_000));
    // THEN
    assertThat(broadcast.sentCount()).isEqualTo(0);
    // WHEN it is much worse than reported
    timers.advanceMs(10);
    broadcast.offer(report(1, 5_000));
    // THEN
    assertThat(broadcast.sentCount()).isEqualTo(1);
  }

  // The largest fleet: 10,000 upstreams become slow at the same time.
  @Test
  void datagramsPerSecondAreBounded() {
    IntStream.range(0, 10_000).forEach(upstream -> broadcast.offer(report(upstream, 500)));

    assertThat(datagramCount).isEqualTo(2_000);
    assertThat(broadcast.droppedCount()).isEqualTo(10_000 - broadcast.sentCount());
  }
}
