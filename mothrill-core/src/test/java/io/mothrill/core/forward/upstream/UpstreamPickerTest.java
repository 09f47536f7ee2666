package io.mothrill.core.forward.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.request.Prompt;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamPickerTest {

  private static final String SERVICE = "asistan";
  private static final long TARGET_LATENCY_MS = 800;

  private final Set<String> partitioned = new HashSet<>();
  private final Set<String> forbidden = new HashSet<>();
  private final Set<String> warming = new HashSet<>();
  private final ManualTimers timers = new ManualTimers();
  private final UpstreamLoads loads = new UpstreamLoads();
  private final PrefixCacheEstimator prefixCache = new PrefixCacheEstimator();
  private final PrefillSpeed speed = new PrefillSpeed();
  private final PublishedValue<UpstreamList> list = new PublishedValue<>(UpstreamList.empty());
  private final UpstreamPicker picker =
      new UpstreamPicker(
          list,
          loads,
          new PlainCost("konya", loads, new Random(1)),
          new PromptCost("konya", loads, prefixCache, speed),
          (upstream, query, nowMs) -> !forbidden.contains(upstream.id()),
          upstream -> warming.contains(upstream.id()),
          domain -> !partitioned.contains(domain),
          timers);

  @BeforeEach
  void sixUpstreamsOfOneDomain() {
    list.publish(
        new UpstreamList(IntStream.range(0, 6).mapToObj(i -> upstream(i, false)).toList()));
  }

  private static RegisteredUpstream upstream(int number, boolean leaving) {
    return new RegisteredUpstream(
        "i-" + number,
        SERVICE,
        "10.0.0." + number,
        80,
        "konya",
        8,
        leaving,
        OptionalLong.empty(),
        RegistrationVersion.UNKNOWN);
  }

  private static Prompt prompt(String prefix, long ownTokens) {
    return new Prompt(
        "m",
        5_000 + ownTokens,
        100,
        List.of(new Prompt.Part(prefix, 5_000), new Prompt.Part("own", ownTokens)));
  }

  private static UpstreamQuery query(Optional<Prompt> prompt, Set<String> tried) {
    return new UpstreamQuery(
        SERVICE,
        TARGET_LATENCY_MS,
        prompt,
        RegionRestriction.unrestricted(),
        tried,
        UpstreamQuery.Eligibility.unrestricted());
  }

  private String pick(Prompt prompt) {
    return picker.pick(query(Optional.of(prompt), Set.of())).orElseThrow().id();
  }

  private Optional<RegisteredUpstream> pickPlain(Set<String> tried) {
    return picker.pick(query(Optional.empty(), tried));
  }

  @Test
  void promptsWithSharedPrefixGoToOneUpstream() {
    String preferred = pick(prompt("saver-7", 100));

    assertThat(pick(prompt("saver-7", 4_000))).isEqualTo(preferred);
  }

  @Test
  void prefixesAreDistributedOverUpstreams() {
    long preferredCount =
        IntStream.range(0, 60)
            .mapToObj(number -> pick(prompt("saver-" + number, 100)))
            .distinct()
            .count();
    assertThat(preferredCount).isEqualTo(6);
  }

  // Long prompts with many shared prefixes, some of which have the same preferred upstream. A short
  // wait there costs less than another prefill of the prefix elsewhere, so the prompt stays.
  @Test
  void promptWaitsAtItsPreferredUpstreamWhileInTime() {
    String preferred = pick(prompt("saver-7", 100));
    loads.of(preferred + "@0").onPromptNotice(4_000, speed.tokensPerMs(), timers.nowMs());

    assertThat(pick(prompt("saver-7", 100))).isEqualTo(preferred);
  }

  // One prefix gets much of the traffic, or its preferred upstream reads a very long prompt of
  // another instance. The answer would be late behind that, so the prompt is sent elsewhere.
  @Test
  void promptGoesElsewhereWhenItWouldBeLate() {
    String preferred = pick(prompt("saver-7", 100));
    loads.of(preferred + "@0").onPromptNotice(50_000, speed.tokensPerMs(), timers.nowMs());

    assertThat(pick(prompt("saver-7", 100))).isNotEqualTo(preferred);
  }

  @Test
  void noticedPromptsCountAsReadAfterWhile() {
    String preferred = pick(prompt("saver-7", 100));
    loads.of(preferred + "@0").onPromptNotice(50_000, speed.tokensPerMs(), timers.nowMs());

    timers.advanceMs(2_000);

    assertThat(pick(prompt("saver-7", 100))).isEqualTo(preferred);
  }

  @Test
  void leavingUpstreamGetsNoNewRequests() {
    list.publish(new UpstreamList(List.of(upstream(1, true), upstream(2, false))));

    assertThat(pickPlain(Set.of()).map(RegisteredUpstream::id)).isEqualTo(Optional.of("i-2"));
  }

  @Test
  void anUpstreamIsNotTriedTwice() {
    list.publish(new UpstreamList(List.of(upstream(1, false))));

    assertThat(pickPlain(Set.of("i-1@0"))).isEqualTo(Optional.empty());
  }

  // One upstream has crashed silently. It is avoided after the first failure, and tried again
  // later.
  @Test
  void failedUpstreamIsAvoidedForWhile() {
    list.publish(new UpstreamList(List.of(upstream(1, false), upstream(2, false))));
    loads.of("i-1@0").onFailure(timers.nowMs());

    for (int request = 0; request < 20; request++) {
      assertThat(pickPlain(Set.of()).orElseThrow().id()).isEqualTo("i-2");
    }
    assertThat(loads.of("i-1@0").isAvoided(timers.nowMs() + 5_000)).isFalse();
  }

  // A failure domain is partitioned while its upstreams are still in the list. Requests are sent to
  // the others, even if one of those has just failed, and to the domain only if there is no other.
  @Test
  void upstreamsOfPartitionedDomainComeLast() {
    RegisteredUpstream here = upstream(1, false);
    RegisteredUpstream there =
        new RegisteredUpstream(
            "i-2",
            SERVICE,
            "10.1.0.2",
            80,
            "kayseri",
            8,
            false,
            OptionalLong.empty(),
            RegistrationVersion.UNKNOWN);
    list.publish(new UpstreamList(List.of(here, there)));
    partitioned.add("kayseri");
    loads.of(here.incarnation()).onFailure(timers.nowMs());

    assertThat(pickPlain(Set.of()).orElseThrow().id()).isEqualTo("i-1");
    assertThat(pickPlain(Set.of(here.incarnation())).orElseThrow().id()).isEqualTo("i-2");
  }

  @Test
  void failedUpstreamsAreBetterThanNone() {
    list.publish(new UpstreamList(List.of(upstream(1, false))));
    loads.of("i-1@0").onFailure(timers.nowMs());

    assertThat(pickPlain(Set.of()).isPresent()).isTrue();
  }

  @Test
  void plainRequestsGoToTheLeastLoadedUpstream() {
    list.publish(new UpstreamList(List.of(upstream(1, false), upstream(2, false))));
    loads.of("i-1@0").onReport(8, 4, timers.nowMs());

    assertThat(pickPlain(Set.of()).orElseThrow().id()).isEqualTo("i-2");
  }

  @Test
  void warmingUpstreamsAreAvoidedWhileOthersAreAvailable() {
    warming.addAll(Set.of("i-0", "i-1", "i-2", "i-3", "i-4"));

    assertThat(pick(prompt("saver-7", 100))).isEqualTo("i-5");
  }

  @Test
  void warmingUpstreamIsBetterThanRecentlyFailedOne() {
    warming.add("i-0");
    IntStream.range(1, 6)
        .forEach(i -> loads.of(upstream(i, false).incarnation()).onFailure(timers.nowMs()));

    assertThat(pick(prompt("saver-7", 100))).isEqualTo("i-0");
  }

  @Test
  void filteredUpstreamsAreNeverSelected() {
    IntStream.range(0, 6).forEach(i -> forbidden.add("i-" + i));

    assertThat(pickPlain(Set.of())).isEqualTo(Optional.empty());
  }
}
