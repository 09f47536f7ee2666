package io.mothrill.core.forward.view;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.error.PlatformException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class StatePollerTest {

  private static final ViewSettings SETTINGS = new ViewSettings(500, 500, 2_500);
  private static final RegisteredUpstream LIVING =
      new RegisteredUpstream(
          "i-1",
          "sira",
          "10.0.0.1",
          80,
          "konya",
          6,
          false,
          OptionalLong.empty(),
          RegistrationVersion.UNKNOWN);

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<ForwardingPlan> plan =
      new PublishedValue<>(ForwardingPlan.unknown());
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private final PublishedValue<Set<String>> evacuatedDomains = new PublishedValue<>(Set.of());
  private final Store store = new Store();

  private static ForwardingPlan version(long number) {
    return new ForwardingPlan(number, List.of(), List.of(), List.of(), CallerBounds.standard());
  }

  private static final class Store implements StateSource {
    private ForwardingPlan newest = version(1);
    private Set<String> evacuated = Set.of();
    private UpstreamList registered = new UpstreamList(List.of(LIVING));
    private Optional<CompletableFuture<DeclaredConfig>> delayed = Optional.empty();
    private final List<ReadMode> modes = new ArrayList<>();
    private boolean unreachable;
    private boolean hangs;

    @Override
    public CompletableFuture<DeclaredConfig> readConfig(ReadMode mode) {
      modes.add(mode);
      if (delayed.isPresent()) {
        return delayed.get();
      }
      return unreachable
          ? failed()
          : CompletableFuture.completedFuture(new DeclaredConfig(Optional.of(newest), evacuated));
    }

    @Override
    public CompletableFuture<UpstreamList> readUpstreams(ReadMode mode) {
      if (hangs) {
        return new CompletableFuture<>();
      }
      return unreachable ? failed() : CompletableFuture.completedFuture(registered);
    }

    private static <T> CompletableFuture<T> failed() {
      return CompletableFuture.failedFuture(PlatformException.unreachable("store"));
    }
  }

  private void startPolling() {
    startPolling(SETTINGS);
  }

  private void startPolling(ViewSettings settings) {
    var unused = new StatePoller(store, plan, evacuatedDomains, upstreams, timers, settings);
  }

  @Test
  void takesNewPlanWithinOnePeriod() {
    startPolling();
    store.newest = version(2);

    timers.advanceMs(SETTINGS.planPollMs());

    assertThat(plan.read().version()).isEqualTo(2);
  }

  // A response from an earlier read arrives after a newer one: the plan in force stays.
  @Test
  void neverRevertsToAnOlderPlan() {
    store.newest = version(5);
    startPolling();
    store.newest = version(4);

    timers.advanceMs(5 * SETTINGS.planPollMs());

    assertThat(plan.read().version()).isEqualTo(5);
  }

  // A read hangs on a stalled connection, while new connections work. An upstream announces at that
  // moment that it is leaving; requests to it must stop as soon as without the stalled read.
  @Test
  void hangingReadDoesNotDelayTheNextOne() {
    startPolling();
    store.hangs = true;
    timers.advanceMs(SETTINGS.upstreamPollMs());
    store.hangs = false;
    store.registered = UpstreamList.empty();

    timers.advanceMs(SETTINGS.upstreamPollMs());

    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  @Test
  void removesUpstreamThatIsNoLongerRegistered() {
    startPolling();
    store.registered = UpstreamList.empty();

    timers.advanceMs(SETTINGS.planPollMs());

    assertThat(upstreams.read().contains("i-1")).isFalse();
  }

  // The store is unreachable for six seconds and loses the registrations. Callers are still served
  // by the upstreams known before, which register again within two seconds; those that do not are
  // removed.
  @Test
  void keepsMissingUpstreamsDuringGracePeriod() {
    startPolling();
    store.unreachable = true;
    timers.advanceMs(6_000);
    assertThat(upstreams.read().contains("i-1")).isTrue();

    store.unreachable = false;
    store.registered = UpstreamList.empty();
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
    ViewSettings settings = new ViewSettings(500, 700, 2_500);
    long regainedMs = 6_500;
    startPolling(settings);
    store.unreachable = true;
    timers.advanceMs(regainedMs - 1);
    store.unreachable = false;
    store.registered = UpstreamList.empty();

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
    store.unreachable = true;
    timers.advanceMs(SETTINGS.planPollMs());
    store.unreachable = false;
    store.registered = UpstreamList.empty();

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
    store.registered = new UpstreamList(List.of(LIVING));

    timers.advanceMs(4 * SETTINGS.upstreamPollMs());

    assertThat(toldCount.get()).isEqualTo(0);
    assertThat(upstreams.read().all()).containsExactly(LIVING);
  }

  @Test
  void publishesFirstListEvenIfEmpty() {
    store.registered = new UpstreamList(List.of());

    startPolling();

    assertThat(upstreams.read().isKnown()).isTrue();
  }

  @Test
  void publishesBeginAndEndOfEvacuations() {
    startPolling();
    store.evacuated = Set.of("konya");
    timers.advanceMs(500);
    assertThat(evacuatedDomains.read()).containsExactly("konya");

    store.evacuated = Set.of();
    timers.advanceMs(500);

    assertThat(evacuatedDomains.read()).isEmpty();
  }

  // The store cannot be read for a while. Known evacuations stay in effect, as requests to a
  // failure domain that is being evacuated would be lost.
  @Test
  void evacuationHoldsWhileTheStoreIsUnreachable() {
    store.evacuated = Set.of("konya");
    startPolling();
    store.unreachable = true;
    store.evacuated = Set.of();

    timers.advanceMs(5_000);

    assertThat(evacuatedDomains.read()).containsExactly("konya");
  }

  // A response from before the evacuation arrives after the response to a later read. If it
  // counted, the failure domain would get requests again until the next read.
  @Test
  void lateResponseDoesNotEndAnEvacuation() {
    startPolling();
    CompletableFuture<DeclaredConfig> late = new CompletableFuture<>();
    store.delayed = Optional.of(late);
    timers.advanceMs(500);
    store.delayed = Optional.empty();
    store.evacuated = Set.of("konya");
    timers.advanceMs(500);

    late.complete(new DeclaredConfig(Optional.empty(), Set.of()));

    assertThat(evacuatedDomains.read()).containsExactly("konya");
  }

  // The store may not report a change; a missed change becomes visible with the next full read.
  @Test
  void oneReadInFourIsFull() {
    startPolling();

    timers.advanceMs(4 * 500);

    assertThat(store.modes)
        .containsExactly(
            ReadMode.FULL,
            ReadMode.INCREMENTAL,
            ReadMode.INCREMENTAL,
            ReadMode.INCREMENTAL,
            ReadMode.FULL)
        .inOrder();
  }
}
