package io.mothrill.core.forward.view;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.MemoryStore.ReadKind;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ViewControllerTest {

  private static final ViewSettings SETTINGS = new ViewSettings(500, 500, 2_500, 1_000);

  /** The time in which a change must be in force. */
  private static final long BOUND_MS = 2_000;

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<ForwardingPlan> plan =
      new PublishedValue<>(ForwardingPlan.unknown());
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private final PublishedValue<Set<String>> evacuatedDomains = new PublishedValue<>(Set.of());
  private final MemoryStore store = new MemoryStore(timers);

  ViewControllerTest() {
    store.declarePlan(1);
    store.register("i-1");
  }

  private void startPolling() {
    startPolling(SETTINGS);
  }

  private void startPolling(ViewSettings settings) {
    startPolling(store, settings);
  }

  private void startPolling(StateSource source, ViewSettings settings) {
    new ViewController(
            source,
            new MemoryStore.Decoder(),
            plan,
            evacuatedDomains,
            upstreams,
            () -> 1,
            store,
            timers,
            new Random(1),
            settings)
        .start();
  }

  @Test
  void takesNewPlanWithinOnePeriod() {
    startPolling();
    store.declarePlan(2);

    timers.advanceMs(SETTINGS.planPollMs());

    assertThat(plan.read().version()).isEqualTo(2);
  }

  // A response from an earlier read arrives after a newer one: the plan in force stays.
  @Test
  void neverRevertsToAnOlderPlan() {
    store.declarePlan(5);
    startPolling();
    store.declarePlan(4);

    timers.advanceMs(5 * SETTINGS.planPollMs());

    assertThat(plan.read().version()).isEqualTo(5);
  }

  // A read hangs on a stalled connection, while new connections work. An upstream announces at that
  // moment that it is leaving; requests to it must stop as soon as without the stalled read.
  @Test
  void hangingReadDoesNotDelayTheNextOne() {
    startPolling();
    store.setFault(ViewTable.UPSTREAMS, MemoryStore.Fault.HANGS);
    timers.advanceMs(SETTINGS.upstreamPollMs());
    store.setFault(ViewTable.UPSTREAMS, MemoryStore.Fault.NONE);
    store.deregister("i-1");

    timers.advanceMs(SETTINGS.upstreamPollMs());

    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  @Test
  void removesUpstreamThatIsNoLongerRegistered() {
    startPolling();
    store.deregister("i-1");

    timers.advanceMs(SETTINGS.planPollMs());

    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  // The store is unreachable for six seconds and loses the registrations. Callers are still served
  // by the upstreams known before, which register again within two seconds; those that do not are
  // removed.
  @Test
  void keepsMissingUpstreamsDuringGracePeriod() {
    startPolling();
    store.setFaults(MemoryStore.Fault.REFUSES);
    timers.advanceMs(6_000);
    assertThat(upstreams.read().contains("i-1")).isTrue();

    store.setFaults(MemoryStore.Fault.NONE);
    store.deregister("i-1");
    timers.advanceMs(1_500);
    assertThat(upstreams.read().contains("i-1")).isTrue();

    timers.advanceMs(2_000);
    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  // An upstream is removed from the list while only this instance cannot reach the store. It is
  // kept for the grace period in which live upstreams register again, and gets no requests after
  // the end of that period, rather than only from the next periodic read nearly one interval later.
  @Test
  void removesMissingUpstreamsAtTheEndOfTheGracePeriod() {
    ViewSettings settings = new ViewSettings(500, 700, 2_500, 1_000);
    long regainedMs = 6_500;
    startPolling(settings);
    store.setFaults(MemoryStore.Fault.REFUSES);
    timers.advanceMs(regainedMs - 1);
    store.setFaults(MemoryStore.Fault.NONE);
    store.deregister("i-1");

    timers.advanceMs(settings.recoveryGraceMs());
    assertThat(upstreams.read().contains("i-1")).isTrue();

    timers.advanceMs(1);
    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  // A single read fails. No registration can have expired in that time, so an upstream that is
  // missing afterwards has left and gets no new requests.
  @Test
  void doesNotKeepUpstreamsAfterSingleFailedRead() {
    startPolling();
    store.setFaults(MemoryStore.Fault.REFUSES);
    timers.advanceMs(SETTINGS.planPollMs());
    store.setFaults(MemoryStore.Fault.NONE);
    store.deregister("i-1");

    timers.advanceMs(2 * SETTINGS.planPollMs());

    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  // Nearly all reads return an unchanged list. Subscribers would process dozens of upstreams for
  // each, several times a second.
  @Test
  void doesNotPublishUnchangedList() {
    startPolling();
    AtomicInteger toldCount = new AtomicInteger();
    upstreams.subscribe(list -> toldCount.incrementAndGet());
    store.register("i-1");

    timers.advanceMs(4 * SETTINGS.upstreamPollMs());

    assertThat(toldCount.get()).isEqualTo(0);
    assertThat(upstreams.read().contains("i-1")).isTrue();
  }

  @Test
  void publishesFirstListEvenIfEmpty() {
    store.deregister("i-1");

    startPolling();

    assertThat(upstreams.read().isKnown()).isTrue();
  }

  @Test
  void publishesBeginAndEndOfEvacuations() {
    startPolling();
    store.evacuate("konya");
    timers.advanceMs(500);
    assertThat(evacuatedDomains.read()).containsExactly("konya");

    store.endEvacuation("konya");
    timers.advanceMs(500);

    assertThat(evacuatedDomains.read()).isEmpty();
  }

  // The store cannot be read for a while. Known evacuations stay in effect, as requests to a
  // failure domain that is being evacuated would be lost.
  @Test
  void evacuationHoldsWhileTheStoreIsUnreachable() {
    store.evacuate("konya");
    startPolling();
    store.setFaults(MemoryStore.Fault.REFUSES);
    store.endEvacuation("konya");

    timers.advanceMs(5_000);

    assertThat(evacuatedDomains.read()).containsExactly("konya");
  }

  // A response from before the evacuation arrives after the response to a later read. If it
  // counted, the failure domain would get requests again until the next read.
  @Test
  void lateResponseDoesNotEndAnEvacuation() {
    startPolling();
    final TableRead before = store.whole(ViewTable.CONFIG);
    final CompletableFuture<TableRead> late = store.delayNextRead();
    timers.advanceMs(500);
    store.evacuate("konya");
    timers.advanceMs(500);

    late.complete(before);

    assertThat(evacuatedDomains.read()).containsExactly("konya");
  }

  // The store may not report a change; a missed change becomes visible with the next whole read.
  @Test
  void tableIsReadWholeWhenItWasNotConfirmedForTwoIntervals() {
    startPolling();

    timers.advanceMs(4 * 500);

    assertThat(store.kindsOf(ViewTable.CONFIG))
        .containsExactly(
            ReadKind.WHOLE, ReadKind.CHANGES, ReadKind.WHOLE, ReadKind.CHANGES, ReadKind.WHOLE)
        .inOrder();
  }

  // The feed is silent while the plan changes, and the next read of the whole table fails. Callers
  // would be handled by the old plan for longer than the store's operators are promised.
  @Test
  void planIsInForceInTimeAlthoughOneWholeReadFails() {
    startPolling();
    timers.advanceMs(SETTINGS.planPollMs() / 2);
    store.setFault(ViewTable.CONFIG, MemoryStore.Fault.SILENT_FEED);
    store.declarePlan(2);
    store.failWholeReads(1);

    timers.advanceMs(BOUND_MS);

    assertThat(plan.read().version()).isEqualTo(2);
  }

  // The feed answers without a change that has been made. Later answers of the feed show it, so it
  // must not count as known.
  @Test
  void answerWithoutChangeDoesNotHideItFromLaterReads() {
    startPolling();
    store.setFault(ViewTable.CONFIG, MemoryStore.Fault.SILENT_FEED);
    store.declarePlan(2);
    timers.advanceMs(SETTINGS.planPollMs());
    store.setFault(ViewTable.CONFIG, MemoryStore.Fault.NONE);
    store.failWholeReads(100);

    timers.advanceMs(2 * SETTINGS.planPollMs());

    assertThat(plan.read().version()).isEqualTo(2);
  }

  // A plan takes two intervals on the link of an instance, and the next one follows meanwhile.
  // Reads
  // that are started although an earlier one is receiving delay each other for many intervals.
  @Test
  void readsThatOutlastTheIntervalDoNotDelayEachOther() {
    SharedLink link = new SharedLink(store, timers, 2 * SETTINGS.planPollMs());
    startPolling(link, SETTINGS);
    timers.advanceMs(BOUND_MS);
    store.declarePlan(2);
    timers.advanceMs(SETTINGS.planPollMs());
    store.declarePlan(3);

    timers.advanceMs(BOUND_MS);

    assertThat(plan.read().version()).isEqualTo(3);
  }

  // A whole table takes longer on the link than its confirmation lasts. Read again and again, it
  // would keep the link from callers although nothing changes.
  @Test
  void wholeTableThatFillsTheLinkIsNotReadAllTheTime() {
    long transferMs = 4 * SETTINGS.planPollMs();
    SharedLink link = new SharedLink(store, timers, transferMs);
    startPolling(link, SETTINGS);

    timers.advanceMs(20 * transferMs);

    assertThat(link.busyMs()).isAtMost(11 * transferMs);
  }
}
