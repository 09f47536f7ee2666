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
  private int askedCount;
  private final Set<String> askedIds = new HashSet<>();
  private List<InstanceRecord> others = OTHERS;
  private final DomainReachability reach =
      new DomainReachability(SELF, () -> others, this::ask, timers);

  private static InstanceRecord instance(String id, String domain) {
    return new InstanceRecord(id, id, domain, "host of " + id, 1, false);
  }

  private CompletableFuture<PeerMessage> ask(
      InstanceRecord peer, PeerMessage request, long timeoutMs) {
    askedCount++;
    askedIds.add(peer.id());
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

  // A domain is cut off. Within less than a second it is known, and nothing is said of the others.
  @Test
  void seesThatDomainIsCutOff() {
    placeRequestsFor(1_000);
    silent.addAll(Set.of("kayseri-1", "kayseri-2"));

    placeRequestsFor(1_000);

    assertThat(reach.isReachable("kayseri")).isFalse();
    assertThat(reach.isReachable("ankara")).isTrue();
    assertThat(reach.isReachable("konya")).isTrue();
  }

  @Test
  void seesThatTheDomainIsBack() {
    silent.addAll(Set.of("kayseri-1", "kayseri-2"));
    placeRequestsFor(2_000);
    silent.clear();

    placeRequestsFor(500);

    assertThat(reach.isReachable("kayseri")).isTrue();
  }

  // One instance of the domain stands still while the other answers: the way there is open.
  @Test
  void oneSilentInstanceIsNoCut() {
    silent.add("kayseri-1");

    for (int check = 0; check < 50; check++) {
      timers.advanceMs(100);
      assertThat(reach.isReachable("kayseri")).isTrue();
    }
  }

  // All processes of the domain are being restarted. Their machines refuse connections, so the way
  // there is open, and so are the upstreams.
  @Test
  void refusedConnectionShowsThatTheWayIsOpen() {
    refusing.addAll(Set.of("kayseri-1", "kayseri-2"));

    placeRequestsFor(3_000);

    assertThat(reach.isReachable("kayseri")).isTrue();
  }

  @Test
  void asksNobodyWhileNoticesCome() {
    for (int notice = 0; notice < 20; notice++) {
      place();
      reach.onMessageFromHost("host of kayseri-2");
      reach.onMessageFromHost("host of ankara-1");
      timers.advanceMs(200);
    }

    assertThat(askedCount).isEqualTo(0);
  }

  // Streams of upstreams in a domain go on: whoever gets their events needs no other sign.
  @Test
  void asksNobodyWhileUpstreamsAnswer() {
    for (int event = 0; event < 20; event++) {
      place();
      reach.onMessageFromDomain("kayseri");
      reach.onMessageFromDomain("ankara");
      timers.advanceMs(200);
    }

    assertThat(askedCount).isEqualTo(0);
  }

  // Most instances of a large fleet place a request now and then. What they would learn while they
  // place none serves nobody.
  @Test
  void asksNobodyWhileNoRequestIsPlaced() {
    timers.advanceMs(60_000);

    assertThat(askedCount).isEqualTo(0);
  }

  // Each question to another instance takes a connection to it. Sixteen in a domain would be as
  // many connections of every instance, each used once in many seconds.
  @Test
  void asksTheSameInstancesAgain() {
    others = domainOf(16);

    placeRequestsFor(10_000);

    assertThat(askedIds).hasSize(2);
  }

  @Test
  void asksOthersWhenThoseAreSilent() {
    others = domainOf(16);
    silent.addAll(others.stream().map(InstanceRecord::id).limit(15).toList());

    placeRequestsFor(10_000);

    assertThat(reach.isReachable("kayseri")).isTrue();
  }

  private static List<InstanceRecord> domainOf(int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> instance("kayseri-" + number, "kayseri"))
        .toList();
  }

  /** Chooses an upstream, as each request does. */
  private void place() {
    reach.isReachable("elsewhere");
  }

  private void placeRequestsFor(long durationMs) {
    for (long atMs = 0; atMs < durationMs; atMs += 100) {
      place();
      timers.advanceMs(100);
    }
  }

  @Test
  void domainWithoutInstancesCountsAsOpen() {
    placeRequestsFor(3_000);

    assertThat(reach.isReachable("elsewhere")).isTrue();
  }
}
