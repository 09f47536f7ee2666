package io.mothrill.core.forward.warmup;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.Section;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamWord;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WarmingUpstreamsTest {

  private static final WarmUpPlan PLAN = new WarmUpPlan(3_000, 8.7);

  private final ManualTimers timers = new ManualTimers();
  private final Section<UpstreamList> list = new Section<>(UpstreamList.empty());
  private final Section<Set<String>> evacuated = new Section<>(Set.of());
  private final WarmingUpstreams warming =
      new WarmingUpstreams(list, evacuated, service -> Optional.of(PLAN), timers);

  private static ServingUpstream saying(String id, OptionalLong leftMs, long number) {
    return new ServingUpstream(
        id, "asistan", "10.0.0.1", 80, "konya", 16, false, leftMs, new UpstreamWord(1, number));
  }

  private ServingUpstream read(ServingUpstream upstream) {
    list.publish(new UpstreamList(List.of(upstream)));
    return upstream;
  }

  @Test
  void countsFromWhenTheWordWasRead() {
    ServingUpstream cold = read(saying("i-1", OptionalLong.of(3_000), 1));

    assertThat(warming.leftMs(cold)).isEqualTo(3_000);
    timers.advanceMs(2_999);
    assertThat(warming.isWarming(cold)).isTrue();
    timers.advanceMs(1);
    assertThat(warming.isWarming(cold)).isFalse();
  }

  @Test
  void wordThatIsReadAgainDoesNotBeginTheWarmUpAnew() {
    ServingUpstream cold = read(saying("i-1", OptionalLong.of(3_000), 1));
    timers.advanceMs(2_000);

    read(saying("i-1", OptionalLong.of(3_000), 1));

    assertThat(warming.leftMs(cold)).isEqualTo(1_000);
  }

  @Test
  void warmUpstreamMayTurnColdAgain() {
    read(saying("i-1", OptionalLong.of(0), 1));

    ServingUpstream again = read(saying("i-1", OptionalLong.of(2_000), 2));

    assertThat(warming.leftMs(again)).isEqualTo(2_000);
  }

  @Test
  void newUpstreamThatSaysNothingIsTakenToHaveJustStarted() {
    read(saying("i-1", OptionalLong.empty(), 1));

    ServingUpstream started = saying("i-2", OptionalLong.empty(), 1);
    list.publish(new UpstreamList(List.of(saying("i-1", OptionalLong.empty(), 1), started)));

    assertThat(warming.leftMs(started)).isEqualTo(PLAN.durationMs());
  }

  // An instance that starts reads of hundreds of upstreams that have run for long.
  @Test
  void upstreamsOfTheFirstListThatSayNothingAreTakenToBeWarm() {
    ServingUpstream known = read(saying("i-1", OptionalLong.empty(), 1));

    assertThat(warming.isWarming(known)).isFalse();
  }

  // An upstream ends and is back within a second under its name. Until the next word is read, it
  // looks as warm as before, and would get its full part of the requests at once.
  @Test
  void endedUpstreamIsTakenToWarmUpUntilItsNextWord() {
    ServingUpstream before = read(saying("i-1", OptionalLong.of(0), 1));

    warming.onEnded(before);

    assertThat(warming.isWarming(before)).isTrue();
    ServingUpstream after = read(saying("i-1", OptionalLong.of(0), 2));
    assertThat(warming.isWarming(after)).isFalse();
  }

  @Test
  void endedUpstreamWhoseWordStaysTheSameIsWarmAgainLater() {
    ServingUpstream before = read(saying("i-1", OptionalLong.of(0), 1));
    warming.onEnded(before);

    timers.advanceMs(5_000);

    assertThat(warming.isWarming(before)).isFalse();
  }

  // The list is up to a heartbeat old, an answer of the upstream itself is not.
  @Test
  void whatAnUpstreamSaysItselfIsNewer() {
    ServingUpstream upstream = read(saying("i-1", OptionalLong.of(0), 1));

    warming.onSaid(upstream, 2_500);
    assertThat(warming.leftMs(upstream)).isEqualTo(2_500);

    warming.onSaid(upstream, 0);
    assertThat(warming.isWarming(upstream)).isFalse();
  }

  // A domain was empty for a while. Its upstreams are idle, and cold as their next words will show;
  // until then all instances would choose them first.
  @Test
  void upstreamsOfDomainThatIsTakenBackAreTakenToWarmUp() {
    ServingUpstream there = read(saying("i-1", OptionalLong.of(0), 1));
    evacuated.publish(Set.of("konya"));
    assertThat(warming.isWarming(there)).isFalse();

    evacuated.publish(Set.of());

    assertThat(warming.leftMs(there)).isEqualTo(PLAN.durationMs());
    warming.onSaid(there, 0);
    assertThat(warming.isWarming(there)).isFalse();
  }

  @Test
  void upstreamsElsewhereStayWarmWhenDomainIsTakenBack() {
    ServingUpstream here = read(saying("i-1", OptionalLong.of(0), 1));
    evacuated.publish(Set.of("kayseri"));

    evacuated.publish(Set.of());

    assertThat(warming.isWarming(here)).isFalse();
  }
}
