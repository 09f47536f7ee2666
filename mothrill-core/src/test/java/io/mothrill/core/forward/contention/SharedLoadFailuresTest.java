package io.mothrill.core.forward.contention;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against wrong waits when notices, upstreams or the instance itself fail. */
class SharedLoadFailuresTest {

  private static final long TARGET_MS = 400;
  private static final RegisteredUpstream EARLIER = TestUpstreams.started("i-1", "konya", 1_000);
  private static final RegisteredUpstream LATER = TestUpstreams.started("i-1", "konya", 2_000);

  private final ManualTimers manual = new ManualTimers();
  private long suspendedMs;
  private final List<ContentionReport> sent = new ArrayList<>();
  private final LoadFeatures features = LoadFeatures.onDemand();
  private final PublishedValue<UpstreamList> list =
      new PublishedValue<>(new UpstreamList(List.of(EARLIER)));
  private final UpstreamLoads loads = new UpstreamLoads();
  private final UpstreamContention contention = new UpstreamContention(new Random(1));
  private final Set<RegisteredUpstream> brokenPaths = new HashSet<>();
  private final ContentionMonitor monitor = monitor();

  /** The clock goes on while the instance is suspended, and no timer fires. */
  private final class SuspendableTimers implements Timers {
    @Override
    public long nowMs() {
      return manual.nowMs() + suspendedMs;
    }

    @Override
    public long wallMs() {
      return manual.wallMs() + suspendedMs;
    }

    @Override
    public Subscription after(long delayMs, Runnable task) {
      return manual.after(delayMs, task);
    }

    @Override
    public Subscription every(long periodMs, Runnable task) {
      return manual.every(periodMs, task);
    }
  }

  private ContentionMonitor monitor() {
    Timers timers = new SuspendableTimers();
    InstanceRecord self = new InstanceRecord("e-1", "e-1", "konya", "10.2.0.1", 1, false);
    return new ContentionMonitor(
        contention,
        loads,
        features,
        list,
        new ContentionBroadcast(
            self, () -> List.of(self), (report, to) -> sent.add(report), timers),
        new WorkTimes(),
        (service, tokens) -> tokens / 40.0,
        brokenPaths::contains,
        timers);
  }

  private double waitMs(RegisteredUpstream upstream) {
    return contention.waitMs(upstream.incarnation(), manual.nowMs() + suspendedMs);
  }

  private static ContentionReport report(RegisteredUpstream upstream) {
    return new ContentionReport(
        upstream.incarnation(), 800, OptionalDouble.of(3), OptionalInt.of(24), OptionalInt.of(9));
  }

  @Test
  void decidesAndSendsNothingForServicesWithoutDecisionsUnderLoad() {
    // GIVEN features that are active for no service
    // WHEN
    RequestObservation slow = monitor.onPromptSent(EARLIER, TARGET_MS, 400);
    manual.advanceMs(900);
    slow.onHead(OptionalInt.of(24), OptionalInt.of(9), OptionalDouble.of(3));
    slow.onAnswered();
    monitor.onReport(report(EARLIER));
    // THEN
    assertThat(waitMs(EARLIER)).isEqualTo(0);
    assertThat(contention.slowdown(EARLIER.incarnation(), manual.nowMs())).isEqualTo(1);
    assertThat(loads.of(EARLIER.incarnation()).estimatedCount(manual.nowMs())).isEqualTo(0);
    assertThat(sent).isEmpty();
  }

  @Test
  void withoutNoticesAnInstanceStillAvoidsWhereItsOwnRequestWaits() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    // WHEN the expected time and a quarter of the target have passed without an event
    monitor.onPromptSent(EARLIER, TARGET_MS, 400);
    manual.advanceMs(200);
    // THEN
    assertThat(waitMs(EARLIER)).isGreaterThan(100.0);
    assertThat(sent).isNotEmpty();
  }

  // A request hangs on a path that only this instance has lost. Others must not hear that its
  // upstream is slow.
  @Test
  void requestOnBrokenPathIsNotReportedAsWaiting() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    brokenPaths.add(EARLIER);
    // WHEN
    monitor.onPromptSent(EARLIER, TARGET_MS, 400);
    manual.advanceMs(2_000);
    // THEN
    assertThat(waitMs(EARLIER)).isEqualTo(0);
    assertThat(sent).isEmpty();
  }

  @Test
  void reportsAboutUnknownUpstreamsAreIgnored() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    // WHEN
    monitor.onReport(report(TestUpstreams.started("i-9", "konya", 0)));
    monitor.onReport(report(LATER));
    // THEN
    assertThat(monitor.counts().ignored()).isEqualTo(2);
    assertThat(monitor.counts().waitingUpstreams()).isEqualTo(0);
  }

  @Test
  void replacedUpstreamStartsWithoutContention() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    monitor.onReport(report(EARLIER));
    assertThat(waitMs(EARLIER)).isGreaterThan(700.0);
    // WHEN the process is replaced under its id and a late report about it arrives
    list.publish(new UpstreamList(List.of(LATER)));
    monitor.onReport(report(EARLIER));
    // THEN
    assertThat(waitMs(LATER)).isEqualTo(0);
    assertThat(waitMs(EARLIER)).isEqualTo(0);
    assertThat(contention.slowdown(LATER.incarnation(), manual.nowMs())).isEqualTo(1);
  }

  @Test
  void ownSuspensionIsNotTakenForWaits() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    final RequestObservation answered = monitor.onPromptSent(EARLIER, TARGET_MS, 400);
    monitor.onPromptSent(EARLIER, TARGET_MS, 400);
    manual.advanceMs(60);
    // WHEN the instance is suspended, and responses and notices are read before any timer fires
    suspendedMs = 3_000;
    answered.onAnswered();
    monitor.onReport(report(EARLIER));
    manual.advanceMs(OwnDelay.INTERVAL_MS);
    // THEN
    assertThat(waitMs(EARLIER)).isLessThan(1.0);
    assertThat(sent).isEmpty();
    assertThat(monitor.counts().ignored()).isEqualTo(1);
    // AND a request that goes on waiting after the suspension is noticed
    manual.advanceMs(150);
    assertThat(waitMs(EARLIER)).isGreaterThan(100.0);
  }

  // The link of one instance is full, and each of its responses takes 300 ms longer.
  @Test
  void busyOwnLinkIsNotTakenForSlowUpstreams() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    List<RegisteredUpstream> upstreams = sixUpstreams();
    // WHEN each upstream receives a request every 60 ms
    for (int number = 0; number < 120; number++) {
      RequestObservation request =
          monitor.onPromptSent(upstreams.get(number % upstreams.size()), TARGET_MS, 400);
      manual.after(310, request::onAnswered);
      manual.advanceMs(10);
      if (manual.nowMs() == 600) {
        sent.clear();
      }
    }
    // THEN nothing is reported once the delay is known to be common to all
    assertThat(sent).isEmpty();
    assertThat(monitor.counts().waitingUpstreams()).isEqualTo(0);
  }

  @Test
  void silenceOfAllUpstreamsIsNotTakenForWaits() {
    // GIVEN
    features.onContentionAnnounced(EARLIER.service());
    sixUpstreams().forEach(upstream -> monitor.onPromptSent(upstream, TARGET_MS, 400));
    // WHEN
    manual.advanceMs(900);
    // THEN
    assertThat(sent).isEmpty();
    assertThat(monitor.counts().waitingUpstreams()).isEqualTo(0);
  }

  private List<RegisteredUpstream> sixUpstreams() {
    List<RegisteredUpstream> upstreams =
        IntStream.range(0, 6)
            .mapToObj(number -> TestUpstreams.started("i-" + number, "konya", 0))
            .toList();
    list.publish(new UpstreamList(upstreams));
    return upstreams;
  }
}
