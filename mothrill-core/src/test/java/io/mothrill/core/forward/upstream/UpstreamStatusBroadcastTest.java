package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against each instance detecting the same failures by itself: 40 of 100 upstreams crash and
// return under other names while no instance can read the list. Without reports, each of 60
// instances would detect each of the 40 with a request of its own. That makes thousands of attempts
// that do not run, more than may be retried, so their callers are refused.
class UpstreamStatusBroadcastTest {

  private static final String SERVICE = "asistan";
  private static final int INSTANCES = 60;
  private static final int UPSTREAMS = 100;
  private static final int REPLACED = 40;
  private static final int SECONDS = 9;

  /** Requests per second of one instance: 370 of all. */
  private static final int REQUESTS_PER_S = 6;

  /** Each upstream is detected by the few instances that send to it at the same moment. */
  private static final int MAX_DETECTIONS = 4 * REPLACED;

  private final ManualTimers timers = new ManualTimers();
  private final Random random = new Random(7);
  private final List<Instance> instances = new ArrayList<>();
  private final PublishedValue<UpstreamList> list =
      new PublishedValue<>(
          new UpstreamList(
              IntStream.range(0, UPSTREAMS)
                  .mapToObj(UpstreamStatusBroadcastTest::upstream)
                  .toList()));

  private static RegisteredUpstream upstream(int number) {
    return new RegisteredUpstream(
        "i-" + number,
        SERVICE,
        "10.1.0." + number,
        80,
        domain(number),
        16,
        false,
        OptionalLong.of(0),
        RegistrationVersion.UNKNOWN);
  }

  private static String domain(int number) {
    return "domain-" + number % 4;
  }

  private final class Instance {
    private final InstanceRecord record;
    private final UpstreamLoads loads = new UpstreamLoads();
    private final Set<String> terminated = new HashSet<>();
    private final LeavingUpstreams leaving = new LeavingUpstreams(timers);
    private final UpstreamStatusBroadcast broadcast;
    private final UpstreamPicker picker;

    Instance(int number, UpstreamStatusReportSender sender) {
      this.record =
          new InstanceRecord("e-" + number, "e-" + number, domain(number), "::1", 1, false);
      this.broadcast =
          new UpstreamStatusBroadcast(
              record,
              this::others,
              sender,
              list,
              loads,
              new WarmUpListener() {
                @Override
                public void onProcessEnded(RegisteredUpstream upstream) {
                  terminated.add(upstream.id());
                }

                @Override
                public void onWarmUpReported(RegisteredUpstream upstream, long leftMs) {}
              },
              leaving,
              timers);
      PlainCost cost = new PlainCost(record.domain(), loads, random);
      this.picker =
          new UpstreamPicker(
              list,
              loads,
              cost,
              cost,
              (upstream, query, nowMs) -> true,
              upstream -> false,
              domain -> true,
              timers);
    }

    private List<InstanceRecord> others() {
      return instances.stream().filter(other -> other != this).map(other -> other.record).toList();
    }

    private RegisteredUpstream pick() {
      return picker
          .pick(
              new UpstreamQuery(
                  SERVICE,
                  800,
                  Optional.empty(),
                  RegionRestriction.unrestricted(),
                  Set.of(),
                  UpstreamQuery.Eligibility.unrestricted()))
          .orElseThrow();
    }
  }

  private void startFleet(UpstreamStatusReportSender sender) {
    IntStream.range(0, INSTANCES).forEach(number -> instances.add(new Instance(number, sender)));
  }

  private void deliver(UpstreamStatusReport report, List<InstanceRecord> to) {
    timers.after(
        1,
        () ->
            instances.stream()
                .filter(instance -> to.contains(instance.record))
                .forEach(instance -> instance.broadcast.onReport(report)));
  }

  /** Simulates the outage and returns the number of requests sent to a replaced upstream. */
  private int countDetections() {
    int finds = 0;
    for (int second = 0; second < SECONDS; second++) {
      for (int request = 0; request < REQUESTS_PER_S; request++) {
        for (Instance instance : instances) {
          RegisteredUpstream chosen = instance.pick();
          if (Integer.parseInt(chosen.id().substring(2)) < REPLACED) {
            finds++;
            instance.broadcast.onDetected(chosen, UpstreamStatus.REPLACED);
          }
        }
        timers.advanceMs(1_000 / REQUESTS_PER_S);
      }
    }
    return finds;
  }

  @Test
  void eachReplacedUpstreamIsDetectedByFewInstances() {
    startFleet(this::deliver);

    assertThat(countDetections()).isAtMost(MAX_DETECTIONS);
  }

  @Test
  void withoutReportsEachInstanceDetectsThemAll() {
    startFleet((report, to) -> {});

    assertThat(countDetections()).isAtLeast(3 * MAX_DETECTIONS);
  }

  @Test
  void terminatedProcessIsAvoidedAndAssumedToWarmUpEverywhere() {
    startFleet(this::deliver);

    instances.get(0).broadcast.onDetected(upstream(3), UpstreamStatus.ENDED);
    timers.advanceMs(1);

    for (Instance instance : instances) {
      assertThat(instance.loads.of(upstream(3).incarnation()).isAvoided(timers.nowMs())).isTrue();
      assertThat(instance.terminated).containsExactly("i-3");
    }
  }

  // The store is unreachable, so the list does not show that the upstream is leaving, and the
  // upstream terminates under requests that it still gets.
  @Test
  void announcedLeavingIsKnownEverywhere() {
    startFleet(this::deliver);

    instances.get(0).broadcast.onDetected(upstream(3), UpstreamStatus.LEAVING);
    timers.advanceMs(1);

    for (Instance instance : instances) {
      assertThat(instance.leaving.isLeaving(upstream(3))).isTrue();
    }
  }

  // The upstream was avoided because it was full, which is over soon, while leaving is final.
  @Test
  void leavingIsRecordedForAvoidedUpstream() {
    startFleet(this::deliver);
    Instance other = instances.get(1);
    other.loads.of(upstream(3).incarnation()).avoidFor(timers.nowMs(), 250);

    instances.get(0).broadcast.onDetected(upstream(3), UpstreamStatus.LEAVING);
    timers.advanceMs(1);

    assertThat(other.leaving.isLeaving(upstream(3))).isTrue();
  }

  // Other failure domains may reach what one cannot reach.
  @Test
  void unreachableUpstreamIsReportedInOwnDomainOnly() {
    startFleet(this::deliver);

    instances.get(0).broadcast.onDetected(upstream(3), UpstreamStatus.UNREACHABLE);
    timers.advanceMs(1);

    for (Instance instance : instances) {
      assertThat(instance.loads.of(upstream(3).incarnation()).isAvoided(timers.nowMs()))
          .isEqualTo(instance.record.domain().equals(domain(0)));
    }
  }

  // The upstream has restarted at another address by the time the report arrives.
  @Test
  void ignoresReportAboutAnotherAddress() {
    startFleet(this::deliver);
    Instance one = instances.get(0);

    one.broadcast.onReport(
        new UpstreamStatusReport("i-3@0", "10.9.9.9", 80, UpstreamStatus.REPLACED));

    assertThat(one.loads.of("i-3@0").isAvoided(timers.nowMs())).isFalse();
  }

  // A whole failure domain goes down. Each instance reports a bounded number of upstreams per
  // second.
  @Test
  void reportsAreBounded() {
    startFleet((report, to) -> {});
    Instance one = instances.get(0);

    IntStream.range(0, UPSTREAMS)
        .forEach(number -> one.broadcast.onDetected(upstream(number), UpstreamStatus.ENDED));

    assertThat(one.broadcast.sentCount()).isEqualTo(20);
    timers.advanceMs(2_000);
    one.broadcast.onDetected(upstream(1), UpstreamStatus.ENDED);
    assertThat(one.broadcast.sentCount()).isEqualTo(21);
  }
}
