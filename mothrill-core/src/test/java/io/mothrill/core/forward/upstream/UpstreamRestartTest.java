package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.request.Prompt;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against applying the state of an earlier process to one that restarted under the same id.
 */
class UpstreamRestartTest {

  private static final Prompt PROMPT =
      new Prompt(
          "m", 6_000, 100, List.of(new Prompt.Part("saver", 5_000), new Prompt.Part("own", 1_000)));

  private final StaleRegistrationFilter filter = new StaleRegistrationFilter();
  private final UpstreamLoads loads = new UpstreamLoads();
  private final PrefixCacheEstimator prefixCache = new PrefixCacheEstimator();

  private static RegisteredUpstream registration(long startedMs, long number, boolean leaving) {
    return new RegisteredUpstream(
        "i-1",
        "sira",
        "10.0.0.1",
        80,
        "konya",
        6,
        leaving,
        OptionalLong.empty(),
        new RegistrationVersion(startedMs, number));
  }

  private static UpstreamList list(RegisteredUpstream... upstreams) {
    return new UpstreamList(List.of(upstreams));
  }

  @Test
  void loadAndFailuresOfTheEarlierProcessAreDropped() {
    RegisteredUpstream earlier = registration(1_000, 9, false);
    RegisteredUpstream later = registration(2_000, 1, false);
    loads.of(earlier.incarnation()).onReport(6, 20, 0);
    loads.of(earlier.incarnation()).onFailure(0);

    loads.retain(list(later));

    assertThat(loads.of(later.incarnation()).estimatedCount(0)).isEqualTo(0);
    assertThat(loads.of(later.incarnation()).isAvoided(1)).isFalse();
  }

  @Test
  void promptsCachedByTheEarlierProcessAreReadAgain() {
    RegisteredUpstream earlier = registration(1_000, 9, false);
    RegisteredUpstream later = registration(2_000, 1, false);
    prefixCache.onSent(PROMPT, earlier.incarnation(), 0);

    assertThat(prefixCache.uncachedTokens(PROMPT, earlier.incarnation(), 1)).isEqualTo(1_000);
    assertThat(prefixCache.uncachedTokens(PROMPT, later.incarnation(), 1)).isEqualTo(6_000);
  }

  // The process crashed with a request in flight, and its connection stalled. The caller must not
  // wait for an answer that will never come.
  @Test
  void requestsAtTheEarlierProcessAreNotifiedOnce() {
    RegisteredUpstream earlier = registration(1_000, 9, false);
    UpstreamLoad load = loads.of(earlier.incarnation());
    AtomicInteger notified = new AtomicInteger();
    load.onSent(0);
    load.onReplaced(notified::incrementAndGet);
    load.onReplaced(notified::incrementAndGet).cancel();

    loads.retain(list(earlier));
    assertThat(notified.get()).isEqualTo(0);

    loads.retain(list(registration(2_000, 1, false)));
    loads.retain(list(registration(2_000, 2, false)));
    assertThat(notified.get()).isEqualTo(1);
  }

  // A registration of the earlier process is written late and overwrites that of the later one.
  // Requests are still sent to the later process.
  @Test
  void lateRegistrationOfTheEarlierProcessDoesNotRestoreIt() {
    UpstreamList newest =
        filter.replaceStale(list(registration(2_000, 1, false)), UpstreamList.empty());

    UpstreamList corrected = filter.replaceStale(list(registration(1_000, 9, false)), newest);

    assertThat(corrected.containsIncarnation(registration(2_000, 1, false).incarnation())).isTrue();
    assertThat(corrected.containsIncarnation(registration(1_000, 9, false).incarnation()))
        .isFalse();
  }

  // An upstream has announced that it is leaving, and an older registration of the same process
  // arrives afterwards. It must not get new requests.
  @Test
  void lateRegistrationDoesNotRevokeLeaving() {
    UpstreamList leaving =
        filter.replaceStale(list(registration(1_000, 5, true)), UpstreamList.empty());

    UpstreamList corrected = filter.replaceStale(list(registration(1_000, 4, false)), leaving);

    assertThat(corrected.acceptingFor("sira")).isEmpty();
  }

  // The later process has gone, and then a registration of the earlier one arrives: neither is
  // running.
  @Test
  void lateRegistrationIsIgnoredOnceTheUpstreamIsGone() {
    filter.replaceStale(list(registration(2_000, 1, false)), UpstreamList.empty());
    UpstreamList gone =
        filter.replaceStale(UpstreamList.empty(), list(registration(2_000, 1, false)));

    assertThat(filter.replaceStale(list(registration(1_000, 9, false)), gone).all()).isEmpty();
  }

  @Test
  void processWithoutStartTimeIsNotFiltered() {
    RegisteredUpstream untold =
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
    UpstreamList before = filter.replaceStale(list(untold), UpstreamList.empty());

    assertThat(filter.replaceStale(list(untold), before).acceptingFor("sira")).hasSize(1);
  }
}
