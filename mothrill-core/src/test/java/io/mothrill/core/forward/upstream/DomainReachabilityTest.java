package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DomainReachabilityTest {

  private static final InstanceRecord SELF = instance("konya-1", "konya");
  private static final List<InstanceRecord> OTHERS =
      List.of(
          instance("konya-2", "konya"),
          instance("kayseri-1", "kayseri"),
          instance("kayseri-2", "kayseri"),
          instance("ankara-1", "ankara"));

  private final ManualTimers timers = new ManualTimers();
  private final Set<String> silent = new HashSet<>();
  private final Set<String> refusing = new HashSet<>();
  private int probeCount;
  private final Set<String> probedIds = new HashSet<>();
  private List<InstanceRecord> others = OTHERS;
  private final DomainReachability reach =
      new DomainReachability(SELF, () -> others, this::ask, timers);

  private static InstanceRecord instance(String id, String domain) {
    return new InstanceRecord(id, id, domain, "host of " + id, 1, false);
  }

  private CompletableFuture<PeerMessage> ask(
      InstanceRecord peer, PeerMessage request, long timeoutMs) {
    probeCount++;
    probedIds.add(peer.id());
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    if (refusing.contains(peer.id())) {
      reply.completeExceptionally(PeerException.connectionRefused(peer.id()));
    } else if (silent.contains(peer.id())) {
      timers.after(
          timeoutMs,
          () -> reply.completeExceptionally(PeerException.noReply(peer.id(), "timeout")));
    } else {
      timers.after(2, () -> reply.complete(new PeerMessage.Done()));
    }
    return reply;
  }

  // A failure domain is partitioned. This is detected within less than a second, and other domains
  // are not affected.
  @Test
  void detectsPartitionedDomain() {
    routeRequestsFor(1_000);
    silent.addAll(Set.of("kayseri-1", "kayseri-2"));

    routeRequestsFor(1_000);

    assertThat(reach.isReachable("kayseri")).isFalse();
    assertThat(reach.isReachable("ankara")).isTrue();
    assertThat(reach.isReachable("konya")).isTrue();
  }

  @Test
  void detectsEndOfPartition() {
    silent.addAll(Set.of("kayseri-1", "kayseri-2"));
    routeRequestsFor(2_000);
    silent.clear();

    routeRequestsFor(500);

    assertThat(reach.isReachable("kayseri")).isTrue();
  }

  // One instance of the failure domain is stalled while the other answers, so the domain is
  // reachable.
  @Test
  void oneStalledInstanceIsNoPartition() {
    silent.add("kayseri-1");

    for (int check = 0; check < 50; check++) {
      timers.advanceMs(100);
      assertThat(reach.isReachable("kayseri")).isTrue();
    }
  }

  // All instances in the failure domain are restarting. Their hosts refuse connections, so the
  // domain is reachable, and so are its upstreams.
  @Test
  void refusedConnectionShowsReachability() {
    refusing.addAll(Set.of("kayseri-1", "kayseri-2"));

    routeRequestsFor(3_000);

    assertThat(reach.isReachable("kayseri")).isTrue();
  }

  @Test
  void doesNotProbeWhileNoticesArrive() {
    for (int notice = 0; notice < 20; notice++) {
      routeRequest();
      reach.onMessageFromHost("host of kayseri-2");
      reach.onMessageFromHost("host of ankara-1");
      timers.advanceMs(200);
    }

    assertThat(probeCount).isEqualTo(0);
  }

  // Upstreams in the failure domain keep sending stream events, so no probe is needed.
  @Test
  void doesNotProbeWhileUpstreamsAnswer() {
    for (int event = 0; event < 20; event++) {
      routeRequest();
      reach.onMessageFromDomain("kayseri");
      reach.onMessageFromDomain("ankara");
      timers.advanceMs(200);
    }

    assertThat(probeCount).isEqualTo(0);
  }

  // Most instances of a large fleet route a request only now and then. Probes while no request is
  // routed would be of no use.
  @Test
  void doesNotProbeWhileNoRequestIsRouted() {
    timers.advanceMs(60_000);

    assertThat(probeCount).isEqualTo(0);
  }

  // Each probe of another instance needs a connection to it. Probing all sixteen in a domain would
  // need as many connections per instance, each used once in many seconds.
  @Test
  void probesTheSameInstancesAgain() {
    others = domainOf(16);

    routeRequestsFor(10_000);

    assertThat(probedIds).hasSize(2);
  }

  @Test
  void probesOtherInstancesAfterSilence() {
    others = domainOf(16);
    silent.addAll(others.stream().map(InstanceRecord::id).limit(15).toList());

    routeRequestsFor(10_000);

    assertThat(reach.isReachable("kayseri")).isTrue();
  }

  private static List<InstanceRecord> domainOf(int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> instance("kayseri-" + number, "kayseri"))
        .toList();
  }

  /** Selects an upstream, as each request does. */
  private void routeRequest() {
    reach.isReachable("elsewhere");
  }

  private void routeRequestsFor(long durationMs) {
    for (long atMs = 0; atMs < durationMs; atMs += 100) {
      routeRequest();
      timers.advanceMs(100);
    }
  }

  @Test
  void domainWithoutInstancesCountsAsReachable() {
    routeRequestsFor(3_000);

    assertThat(reach.isReachable("elsewhere")).isTrue();
  }
}
