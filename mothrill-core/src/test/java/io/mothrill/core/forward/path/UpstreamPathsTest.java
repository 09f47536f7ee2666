package io.mothrill.core.forward.path;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against taking a failure of the path from one instance for a failure of the upstream, and
// the other way round.
class UpstreamPathsTest {

  private static final String DOMAIN = "konya";
  private static final InstanceRecord SELF = instance("konya-1", DOMAIN);
  private static final List<RegisteredUpstream> UPSTREAMS =
      IntStream.range(0, 4)
          .mapToObj(number -> TestUpstreams.started("i-" + number, DOMAIN, 1_000))
          .toList();
  private static final RegisteredUpstream ONE = UPSTREAMS.get(0);
  private static final RegisteredUpstream TWO = UPSTREAMS.get(1);

  private final ManualTimers timers = new ManualTimers();
  private final UpstreamLoads loads = new UpstreamLoads();
  private final BrokenPaths broken = new BrokenPaths();
  private final List<String> heard = new ArrayList<>();
  private List<InstanceRecord> others =
      List.of(instance("ankara-1", "ankara"), instance("kayseri-1", "kayseri"));

  /** What this instance finds when it connects to an upstream itself. */
  private final Map<RegisteredUpstream, PathOutcome> direct = new HashMap<>();

  /** What each other instance replies; without an entry it does not reply. */
  private final Map<String, PathOutcome> replies = new HashMap<>();

  private final PathListener listener =
      new PathListener() {
        @Override
        public void onEnded(RegisteredUpstream upstream) {
          heard.add("ended " + upstream.id());
        }

        @Override
        public void onUnreachable(RegisteredUpstream upstream) {
          heard.add("unreachable " + upstream.id());
        }
      };

  private final UpstreamPaths paths =
      new UpstreamPaths(
          new PublishedValue<>(new UpstreamList(UPSTREAMS)),
          loads,
          broken,
          upstream ->
              CompletableFuture.completedFuture(direct.getOrDefault(upstream, PathOutcome.REACHED)),
          new PathWitnesses(SELF, () -> others, this::ask, timers),
          listener,
          timers);

  private static InstanceRecord instance(String id, String domain) {
    return new InstanceRecord(id, id, domain, "host of " + id, 1, false);
  }

  private CompletableFuture<PeerMessage> ask(
      InstanceRecord peer, PeerMessage request, long timeoutMs) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    if (replies.containsKey(peer.id())) {
      reply.complete(new PeerMessage.PathReply(replies.get(peer.id())));
    } else {
      timers.after(
          timeoutMs,
          () -> reply.completeExceptionally(PeerException.noReply(peer.id(), "timeout")));
    }
    return reply;
  }

  private void replyWith(PathOutcome first, PathOutcome second) {
    replies.put(others.get(0).id(), first);
    replies.put(others.get(1).id(), second);
  }

  private void cutAllPaths(PathOutcome outcome) {
    UPSTREAMS.forEach(upstream -> direct.put(upstream, outcome));
  }

  // A connection is refused by the network, while one of the other instances reaches the upstream.
  @Test
  void upstreamThatOthersReachHasNotEnded() {
    direct.put(ONE, PathOutcome.REFUSED);
    replyWith(PathOutcome.REFUSED, PathOutcome.REACHED);
    loads.of(ONE.incarnation()).onFailure(timers.nowMs());

    paths.onFailure(ONE, PathFailure.LOST);

    assertThat(broken.contains(ONE)).isTrue();
    assertThat(heard).isEmpty();
    assertThat(loads.of(ONE.incarnation()).isAvoided(timers.nowMs())).isFalse();
  }

  // An upstream crashes in the midst of a cut: other instances find its port closed as well.
  @Test
  void upstreamThatRefusesOthersHasEndedAlsoBehindBrokenPath() {
    cutAllPaths(PathOutcome.UNREACHABLE);
    replyWith(PathOutcome.REACHED, PathOutcome.REACHED);
    paths.onFailure(ONE, PathFailure.TIMED_OUT);
    replyWith(PathOutcome.REFUSED, PathOutcome.UNKNOWN);

    assertThat(paths.diagnose(ONE).join()).isEqualTo(PathOutcome.REFUSED);
    assertThat(heard).containsExactly("ended i-0");
  }

  // An instance that was asked does not answer. A request that may have crashed the upstream waits
  // for the verdict, so it must not wait for that instance as well.
  @Test
  void refusalDoesNotWaitForSilentInstance() {
    direct.put(ONE, PathOutcome.REFUSED);
    replies.put(others.get(0).id(), PathOutcome.REFUSED);

    paths.onFailure(ONE, PathFailure.LOST);
    timers.advanceMs(50);

    assertThat(heard).containsExactly("ended i-0");
  }

  // The instances that were asked have lost their own paths. Nothing is known about the upstream.
  @Test
  void upstreamIsNotJudgedByInstancesWithoutPaths() {
    direct.put(ONE, PathOutcome.REFUSED);
    replyWith(PathOutcome.UNKNOWN, PathOutcome.UNKNOWN);

    paths.onFailure(ONE, PathFailure.REFUSED);

    assertThat(heard).isEmpty();
    assertThat(broken.contains(ONE)).isFalse();
    assertThat(paths.isRefused(ONE)).isTrue();
  }

  // A whole failure domain is cut off with resets. Its instances agree on what they see, which says
  // nothing about an upstream of another domain.
  @Test
  void instancesOfTheSameDomainDoNotConfirmThatOthersEnded() {
    others = List.of(instance("konya-2", DOMAIN), instance("ankara-1", "ankara"));
    RegisteredUpstream remote = TestUpstreams.started("i-0", "ankara", 1_000);
    direct.put(remote, PathOutcome.REFUSED);
    replies.put("konya-2", PathOutcome.REFUSED);

    paths.onFailure(remote, PathFailure.REFUSED);
    timers.advanceMs(1_000);

    assertThat(heard).isEmpty();
  }

  // The connections to other instances fail in an unexpected way. Later diagnoses of the same
  // upstream must not wait for the failed one.
  @Test
  void failedDiagnosisDoesNotBlockLaterOnes() {
    direct.put(ONE, PathOutcome.REFUSED);
    others = null;
    assertThat(paths.diagnose(ONE).join()).isEqualTo(PathOutcome.UNKNOWN);

    others = List.of();

    assertThat(paths.diagnose(ONE).join()).isEqualTo(PathOutcome.REFUSED);
  }

  @Test
  void onlyInstanceTrustsItsOwnObservation() {
    others = List.of();

    paths.onFailure(ONE, PathFailure.REFUSED);
    paths.onFailure(TWO, PathFailure.TIMED_OUT);

    assertThat(heard).containsExactly("ended i-0", "unreachable i-1");
  }

  // All paths are cut at the same moment. The first one that is noticed is enough to find the rest,
  // within less than a second.
  @Test
  void silenceOfOneUpstreamLeadsToAllBrokenPaths() {
    loads.of(ONE.incarnation()).onSent(0);
    cutAllPaths(PathOutcome.UNREACHABLE);
    replyWith(PathOutcome.REACHED, PathOutcome.REACHED);

    timers.advanceMs(1_000);

    assertThat(broken.size()).isEqualTo(UPSTREAMS.size());
  }

  // A sound upstream is silent for a second, and still accepts connections.
  @Test
  void silentUpstreamThatAcceptsConnectionsKeepsItsPath() {
    loads.of(ONE.incarnation()).onSent(0);

    timers.advanceMs(1_500);

    assertThat(broken.isEmpty()).isTrue();
    assertThat(heard).isEmpty();
  }

  // Nothing is received from an upstream because nothing is asked of it.
  @Test
  void upstreamWithoutRequestsIsNotSilent() {
    direct.put(ONE, PathOutcome.UNREACHABLE);

    timers.advanceMs(5_000);

    assertThat(paths.counts().failing()).isEqualTo(0);
  }

  // The cut ends. All paths are used again soon, although only one at a time is probed meanwhile.
  @Test
  void allPathsAreRestoredSoonAfterTheCut() {
    cutAllPaths(PathOutcome.UNREACHABLE);
    replyWith(PathOutcome.REACHED, PathOutcome.REACHED);
    paths.onFailure(ONE, PathFailure.TIMED_OUT);
    timers.advanceMs(3_000);
    assertThat(broken.size()).isEqualTo(UPSTREAMS.size());

    direct.clear();
    timers.advanceMs(1_000);

    assertThat(broken.isEmpty()).isTrue();
  }

  @Test
  void countsFailuresByTheirLastKind() {
    direct.put(ONE, PathOutcome.REFUSED);
    replyWith(PathOutcome.UNKNOWN, PathOutcome.UNKNOWN);

    paths.onFailure(ONE, PathFailure.LOST);
    paths.onFailure(ONE, PathFailure.REFUSED);
    paths.onFailure(TWO, PathFailure.TIMED_OUT);

    assertThat(paths.counts().byFailure())
        .containsExactly(PathFailure.REFUSED, 1L, PathFailure.TIMED_OUT, 1L);
  }
}
