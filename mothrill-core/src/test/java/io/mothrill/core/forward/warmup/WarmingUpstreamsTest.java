package io.mothrill.core.forward.warmup;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WarmingUpstreamsTest {

  private static final WarmUpPlan PLAN = new WarmUpPlan(3_000, 8.7);

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<UpstreamList> list = new PublishedValue<>(UpstreamList.empty());
  private final PublishedValue<Set<String>> evacuated = new PublishedValue<>(Set.of());
  private final WarmingUpstreams warming =
      new WarmingUpstreams(list, evacuated, service -> Optional.of(PLAN), timers);

  private static RegisteredUpstream reporting(String id, OptionalLong remainingMs, long number) {
    return new RegisteredUpstream(
        id,
        "asistan",
        "10.0.0.1",
        80,
        "konya",
        16,
        false,
        remainingMs,
        new RegistrationVersion(1, number));
  }

  private RegisteredUpstream read(RegisteredUpstream upstream) {
    list.publish(new UpstreamList(List.of(upstream)));
    return upstream;
  }

  @Test
  void countsFromWhenTheRegistrationWasRead() {
    RegisteredUpstream cold = read(reporting("i-1", OptionalLong.of(3_000), 1));

    assertThat(warming.remainingMs(cold)).isEqualTo(3_000);
    timers.advanceMs(2_999);
    assertThat(warming.isWarming(cold)).isTrue();
    timers.advanceMs(1);
    assertThat(warming.isWarming(cold)).isFalse();
  }

  @Test
  void unchangedRegistrationDoesNotRestartTheWarmUp() {
    RegisteredUpstream cold = read(reporting("i-1", OptionalLong.of(3_000), 1));
    timers.advanceMs(2_000);

    read(reporting("i-1", OptionalLong.of(3_000), 1));

    assertThat(warming.remainingMs(cold)).isEqualTo(1_000);
  }

  @Test
  void warmUpstreamMayBecomeColdAgain() {
    read(reporting("i-1", OptionalLong.of(0), 1));

    RegisteredUpstream again = read(reporting("i-1", OptionalLong.of(2_000), 2));

    assertThat(warming.remainingMs(again)).isEqualTo(2_000);
  }

  @Test
  void newUpstreamWithoutReportIsAssumedToHaveJustStarted() {
    read(reporting("i-1", OptionalLong.empty(), 1));

    RegisteredUpstream started = reporting("i-2", OptionalLong.empty(), 1);
    list.publish(new UpstreamList(List.of(reporting("i-1", OptionalLong.empty(), 1), started)));

    assertThat(warming.remainingMs(started)).isEqualTo(PLAN.durationMs());
  }

  // A starting instance reads hundreds of upstreams that have been running for long.
  @Test
  void upstreamsOfTheFirstListWithoutReportAreAssumedWarm() {
    RegisteredUpstream known = read(reporting("i-1", OptionalLong.empty(), 1));

    assertThat(warming.isWarming(known)).isFalse();
  }

  // An upstream terminates and restarts within a second under its id. Until its next registration
  // is read it looks as warm as before, and would get its full share of the requests at once.
  @Test
  void terminatedUpstreamIsAssumedToWarmUpUntilItsNextRegistration() {
    RegisteredUpstream before = read(reporting("i-1", OptionalLong.of(0), 1));

    warming.onProcessEnded(before);

    assertThat(warming.isWarming(before)).isTrue();
    RegisteredUpstream after = read(reporting("i-1", OptionalLong.of(0), 2));
    assertThat(warming.isWarming(after)).isFalse();
  }

  @Test
  void terminatedUpstreamWithUnchangedRegistrationIsWarmAgainLater() {
    RegisteredUpstream before = read(reporting("i-1", OptionalLong.of(0), 1));
    warming.onProcessEnded(before);

    timers.advanceMs(5_000);

    assertThat(warming.isWarming(before)).isFalse();
  }

  // The list is up to a heartbeat old, an answer of the upstream itself is not.
  @Test
  void reportInAnswerIsNewer() {
    RegisteredUpstream upstream = read(reporting("i-1", OptionalLong.of(0), 1));

    warming.onWarmUpReported(upstream, 2_500);
    assertThat(warming.remainingMs(upstream)).isEqualTo(2_500);

    warming.onWarmUpReported(upstream, 0);
    assertThat(warming.isWarming(upstream)).isFalse();
  }

  // A failure domain was empty for a while. Its upstreams are idle, and cold as their next
  // registrations will show; until then all instances would select them first.
  @Test
  void upstreamsAreAssumedToWarmUpAfterAnEvacuation() {
    RegisteredUpstream there = read(reporting("i-1", OptionalLong.of(0), 1));
    evacuated.publish(Set.of("konya"));
    assertThat(warming.isWarming(there)).isFalse();

    evacuated.publish(Set.of());

    assertThat(warming.remainingMs(there)).isEqualTo(PLAN.durationMs());
    warming.onWarmUpReported(there, 0);
    assertThat(warming.isWarming(there)).isFalse();
  }

  @Test
  void upstreamsElsewhereStayWarmAfterAnEvacuation() {
    RegisteredUpstream here = read(reporting("i-1", OptionalLong.of(0), 1));
    evacuated.publish(Set.of("kayseri"));

    evacuated.publish(Set.of());

    assertThat(warming.isWarming(here)).isFalse();
  }
}
