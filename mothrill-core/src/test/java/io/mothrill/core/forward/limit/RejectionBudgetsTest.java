package io.mothrill.core.forward.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.lease.UpstreamLeases;
import io.mothrill.core.forward.permit.FixedFleet;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against brittle upstreams that fall over: they bear a number of rejections per second from
// all instances together, and each instance sees only its own.
class RejectionBudgetsTest {

  private static final int HISTORIES = 60;
  private static final int STEPS = 4_000;
  private static final int STEP_MS = 5;
  private static final long SECOND_MS = 1_000;

  /** Rejections are late when the instance or the upstream is busy. */
  private static final int MAX_REJECTION_DELAY_MS = 900;

  private static final RegisteredUpstream UPSTREAM = TestUpstreams.started("i-1", "konya", 1_000);

  private static final RegisteredUpstream NOT_MET = TestUpstreams.started("i-2", "konya", 1_000);

  private final ManualTimers timers = new ManualTimers();
  private final UpstreamLoads loads = new UpstreamLoads();
  private final Map<String, UpstreamLeases> leasesByHost = new HashMap<>();
  private final PublishedValue<UpstreamList> list =
      new PublishedValue<>(new UpstreamList(List.of(UPSTREAM, NOT_MET)));

  private List<RejectionBudgets> newFleet(int instances) {
    List<InstanceRecord> records =
        IntStream.range(0, instances)
            .mapToObj(
                number ->
                    new InstanceRecord("e" + number, "e" + number, "a", "h" + number, 1, false))
            .toList();
    return records.stream().map(self -> newBudgets(self, records)).toList();
  }

  private RejectionBudgets newBudgets(InstanceRecord self, List<InstanceRecord> records) {
    FleetView view = FixedFleet.of(self, records);
    UpstreamLeases leases =
        new UpstreamLeases(
            self,
            view,
            list,
            (message, to) ->
                leasesByHost
                    .get(to.host())
                    .onMessage(message, InstanceRecord.ofAddress(self.host(), self.peerPort())),
            timers,
            new Random(1));
    leasesByHost.put(self.host(), leases);
    return new RejectionBudgets(self, view, list, loads, leases, (report, to) -> {}, timers);
  }

  private void announce(RejectionBudgets budgets, int maxPerS) {
    budgets.onAnswer(UPSTREAM, timers.nowMs(), OptionalInt.of(maxPerS), false);
  }

  /** A request that was written, and when its answer arrives. */
  private record Sent(RejectionBudgets by, long sentMs, long answeredMs, boolean rejected) {}

  // Random fleets send as much as they may to an upstream that is full most of the time.
  @ParameterizedTest
  @ValueSource(ints = {50, MAX_REJECTION_DELAY_MS})
  void allInstancesTogetherStayWithinTheBound(int maxDelayMs) {
    for (int seed = 0; seed < HISTORIES; seed++) {
      Random random = new Random(seed);
      int maxPerS = 1 + random.nextInt(30);
      List<RejectionBudgets> fleet = newFleet(1 + random.nextInt(maxPerS));
      fleet.forEach(budgets -> announce(budgets, maxPerS));
      List<Sent> pending = new ArrayList<>();
      List<Long> rejectedMs = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        timers.advanceMs(STEP_MS);
        answerDue(pending, maxPerS);
        boolean full = step / 400 % 5 != 0;
        for (RejectionBudgets budgets : fleet) {
          while (budgets.hasRoom(UPSTREAM) && budgets.tryAcquire(UPSTREAM)) {
            boolean rejected = full && random.nextInt(10) > 0;
            if (rejected) {
              rejectedMs.add(timers.nowMs());
            }
            long answeredMs = timers.nowMs() + (rejected ? random.nextInt(maxDelayMs) : 500);
            pending.add(new Sent(budgets, timers.nowMs(), answeredMs, rejected));
          }
        }
      }
      assertWithMessage("seed %s", seed).that(mostInOneSecond(rejectedMs)).isAtMost(maxPerS);
    }
  }

  private void answerDue(List<Sent> pending, int maxPerS) {
    pending.removeIf(
        sent -> {
          boolean due = sent.answeredMs() <= timers.nowMs();
          if (due) {
            sent.by().onAnswer(UPSTREAM, sent.sentMs(), OptionalInt.of(maxPerS), sent.rejected());
          }
          return due;
        });
  }

  private static int mostInOneSecond(List<Long> timesMs) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < timesMs.size(); last++) {
      while (timesMs.get(last) - timesMs.get(first) >= SECOND_MS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  // There are more instances than rejections to share, and this one has a share nowhere. It still
  // sends requests to an upstream that is nearly empty, but none without a lease.
  @Test
  void instanceWithoutAnyShareIsNotLockedOut() {
    List<RejectionBudgets> fleet = newFleet(5);
    fleet.forEach(budgets -> announce(budgets, 2));
    fleet.forEach(budgets -> budgets.acquireLease(UPSTREAM, SECOND_MS).join());
    timers.advanceMs(5 * SECOND_MS);

    fleet.forEach(
        budgets -> {
          assertThat(budgets.hasRoom(UPSTREAM)).isTrue();
          assertThat(budgets.tryAcquire(UPSTREAM)).isFalse();
          Optional<SendLease> lease = budgets.acquireLease(UPSTREAM, SECOND_MS).join();
          assertThat(lease).isPresent();
          assertThat(lease.get().isHeld()).isTrue();
          lease.get().end();
        });
  }

  // This instance has met one upstream of the service. The others of it become brittle together.
  @Test
  void announcementHoldsForTheOtherUpstreamsOfTheService() {
    RejectionBudgets budgets = newFleet(1).get(0);
    announce(budgets, 1);

    assertThat(budgets.tryAcquire(NOT_MET)).isTrue();
    assertThat(budgets.tryAcquire(NOT_MET)).isFalse();

    timers.advanceMs(1);
    budgets.onAnswer(NOT_MET, timers.nowMs(), OptionalInt.empty(), false);
    assertThat(budgets.hasRoom(NOT_MET)).isTrue();
    assertThat(budgets.hasRoom(UPSTREAM)).isTrue();
    assertThat(budgets.tryAcquire(UPSTREAM)).isTrue();
    assertThat(budgets.hasRoom(UPSTREAM)).isFalse();
  }

  // A request counts until its answer, so a share of one would leave an upstream idle. The places
  // of one that reports its load are split as well.
  @Test
  void upstreamThatReportsItsLoadGetsMoreThanTheShare() {
    RejectionBudgets budgets = newFleet(2).get(0);
    announce(budgets, 2);
    assertThat(countAcquired(budgets)).isEqualTo(1);

    timers.advanceMs(SECOND_MS);
    loads.of(UPSTREAM.incarnation()).onReport(2, 0, timers.nowMs());
    assertThat(countAcquired(budgets)).isEqualTo(UPSTREAM.slots() / 2 - 1);

    budgets.onAnswer(UPSTREAM, timers.nowMs(), OptionalInt.of(2), true);
    assertThat(budgets.hasRoom(UPSTREAM)).isFalse();
  }

  private static int countAcquired(RejectionBudgets budgets) {
    int acquired = 0;
    while (budgets.tryAcquire(UPSTREAM)) {
      acquired++;
    }
    return acquired;
  }

  @Test
  void upstreamThatNoLongerAnnouncesTheBoundGetsRequestsAgain() {
    RejectionBudgets budgets = newFleet(1).get(0);
    announce(budgets, 1);
    assertThat(budgets.tryAcquire(UPSTREAM)).isTrue();
    assertThat(budgets.hasRoom(UPSTREAM)).isFalse();
    timers.advanceMs(1);

    budgets.onAnswer(UPSTREAM, timers.nowMs(), OptionalInt.empty(), false);

    assertThat(budgets.hasRoom(UPSTREAM)).isTrue();
    assertThat(budgets.brittleCount()).isEqualTo(0);
  }
}
