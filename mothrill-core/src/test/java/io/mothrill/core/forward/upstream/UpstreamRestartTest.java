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

  private final StaleRegistrationFilter words = new StaleRegistrationFilter();
  private final UpstreamLoads loads = new UpstreamLoads();
  private final PrefixCacheEstimator memory = new PrefixCacheEstimator();

  private static RegisteredUpstream said(long startedMs, long number, boolean leaving) {
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
  void loadAndFailuresOfTheEarlierProcessAreForgotten() {
    RegisteredUpstream earlier = said(1_000, 9, false);
    RegisteredUpstream later = said(2_000, 1, false);
    loads.of(earlier.incarnation()).onReport(6, 20, 0);
    loads.of(earlier.incarnation()).onFailure(0);

    loads.retain(list(later));

    assertThat(loads.of(later.incarnation()).estimatedCount(0)).isEqualTo(0);
    assertThat(loads.of(later.incarnation()).isAvoided(1)).isFalse();
  }

  @Test
  void promptsThatTheEarlierProcessReadAreReadAgain() {
    RegisteredUpstream earlier = said(1_000, 9, false);
    RegisteredUpstream later = said(2_000, 1, false);
    memory.onSent(PROMPT, earlier.incarnation(), 0);

    assertThat(memory.uncachedTokens(PROMPT, earlier.incarnation(), 1)).isEqualTo(1_000);
    assertThat(memory.uncachedTokens(PROMPT, later.incarnation(), 1)).isEqualTo(6_000);
  }

  // The process crashed with a request in flight, and its connection stalled. The caller must not
  // wait for an answer that will never come.
  @Test
  void requestsAtTheEarlierProcessAreToldOnce() {
    RegisteredUpstream earlier = said(1_000, 9, false);
    UpstreamLoad load = loads.of(earlier.incarnation());
    AtomicInteger told = new AtomicInteger();
    load.onSent(0);
    load.onReplaced(told::incrementAndGet);
    load.onReplaced(told::incrementAndGet).cancel();

    loads.retain(list(earlier));
    assertThat(told.get()).isEqualTo(0);

    loads.retain(list(said(2_000, 1, false)));
    loads.retain(list(said(2_000, 2, false)));
    assertThat(told.get()).isEqualTo(1);
  }

  // A registration of the earlier process is written late and overwrites that of the later one.
  // Requests are still sent to the later process.
  @Test
  void lateWordOfTheEarlierProcessDoesNotBringItBack() {
    UpstreamList newest = words.replaceStale(list(said(2_000, 1, false)), UpstreamList.empty());

    UpstreamList corrected = words.replaceStale(list(said(1_000, 9, false)), newest);

    assertThat(corrected.containsIncarnation(said(2_000, 1, false).incarnation())).isTrue();
    assertThat(corrected.containsIncarnation(said(1_000, 9, false).incarnation())).isFalse();
  }

  // An upstream has announced that it is leaving, and an older registration of the same process
  // arrives afterwards. It must not get new requests.
  @Test
  void lateWordDoesNotTakeBackThatAnUpstreamLeaves() {
    UpstreamList leaving = words.replaceStale(list(said(1_000, 5, true)), UpstreamList.empty());

    UpstreamList corrected = words.replaceStale(list(said(1_000, 4, false)), leaving);

    assertThat(corrected.acceptingFor("sira")).isEmpty();
  }

  // The later process has gone, and then a registration of the earlier one arrives: neither is
  // running.
  @Test
  void lateWordCountsForNothingOnceTheUpstreamIsGone() {
    words.replaceStale(list(said(2_000, 1, false)), UpstreamList.empty());
    UpstreamList gone = words.replaceStale(UpstreamList.empty(), list(said(2_000, 1, false)));

    assertThat(words.replaceStale(list(said(1_000, 9, false)), gone).all()).isEmpty();
  }

  @Test
  void processThatTellsNoStartIsTakenAsItIs() {
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
    UpstreamList before = words.replaceStale(list(untold), UpstreamList.empty());

    assertThat(words.replaceStale(list(untold), before).acceptingFor("sira")).hasSize(1);
  }
}
