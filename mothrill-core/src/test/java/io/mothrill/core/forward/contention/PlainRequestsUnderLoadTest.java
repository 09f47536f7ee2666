package io.mothrill.core.forward.contention;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.load.SwitchedCost;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.upstream.PlainCost;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against late plain requests, which all go to one upstream or wait for a connection. */
class PlainRequestsUnderLoadTest {

  private static final String SERVICE = "asistan";
  private static final List<RegisteredUpstream> UPSTREAMS =
      IntStream.range(0, 3)
          .mapToObj(number -> TestUpstreams.started("i-" + number, "konya", 0))
          .toList();

  private final Random random = new Random(5);
  private final UpstreamLoads loads = new UpstreamLoads();
  private final UpstreamContention contention = new UpstreamContention(random);
  private final WorkTimes workTimes = new WorkTimes();
  private final LoadFeatures features = LoadFeatures.onDemand();
  private final SwitchedCost cost =
      new SwitchedCost(
          features,
          new PlainLatencyCost("konya", loads, contention, workTimes, random),
          new PlainCost("konya", loads, random));

  private Map<String, Long> selections() {
    UpstreamQuery query =
        new UpstreamQuery(
            SERVICE,
            145,
            Optional.empty(),
            RegionRestriction.unrestricted(),
            Set.of(),
            UpstreamQuery.Eligibility.unrestricted());
    return IntStream.range(0, 100)
        .mapToObj(
            number ->
                cost.select(query, UPSTREAMS, cost.costFunction(query, UPSTREAMS, 0)).orElseThrow())
        .map(RegisteredUpstream::id)
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
  }

  @Test
  void waitingAndSlowUpstreamsAreAvoidedOnlyWhereDecisionsUnderLoadAreActive() {
    // GIVEN
    workTimes.onAnswered(SERVICE, 21);
    contention.onSlowdown(UPSTREAMS.get(0).incarnation(), 8, 0);
    contention.onReportedWait(UPSTREAMS.get(1).incarnation(), 145, 0);
    // THEN
    assertThat(selections().keySet()).containsExactly("i-0", "i-1", "i-2");
    // WHEN
    features.onContentionAnnounced(SERVICE);
    // THEN
    assertThat(selections().get("i-2")).isAtLeast(90L);
  }

  // All instances receive a report within milliseconds. If all of them left the upstream at once,
  // the others would be overloaded until the next reports, and so in turn.
  @Test
  void upstreamWithShortWaitKeepsPartOfTheRequests() {
    // GIVEN
    features.onContentionAnnounced(SERVICE);
    workTimes.onAnswered(SERVICE, 21);
    contention.onReportedWait(UPSTREAMS.get(1).incarnation(), 36, 0);
    // WHEN
    Map<String, Long> selections = selections();
    // THEN
    assertThat(selections.get("i-1")).isAtLeast(8L);
    assertThat(selections.get("i-1")).isAtMost(25L);
  }

  @Test
  void upstreamsOfAboutEqualCostShareTheRequests() {
    // GIVEN
    features.onContentionAnnounced(SERVICE);
    workTimes.onAnswered(SERVICE, 21);
    contention.onReportedWait(UPSTREAMS.get(1).incarnation(), 2, 0);
    contention.onReportedWait(UPSTREAMS.get(2).incarnation(), 4, 0);
    // WHEN
    Map<String, Long> selections = selections();
    // THEN
    assertThat(selections.get("i-0")).isAtMost(75);
    assertThat(selections.get("i-2")).isAtLeast(3);
  }

  @Test
  void workTimeIsBarelyAffectedByRequestsThatHaveWaited() {
    IntStream.range(0, 400)
        .forEach(number -> workTimes.onAnswered(SERVICE, number % 2 == 0 ? 21 : 900));

    assertThat(workTimes.expectedMs(SERVICE).orElseThrow()).isWithin(5).of(21);
  }

  @Test
  void connectTimeoutIsHalfOfTheTargetLatencyWhereActiveAndGrowsWithEachFailure() {
    ConnectTimeouts timeouts = new ConnectTimeouts(features);
    assertThat(timeouts.timeoutMs(SERVICE, 145, 0)).isEqualTo(500);

    features.onContentionAnnounced(SERVICE);

    assertThat(timeouts.timeoutMs(SERVICE, 145, 0)).isEqualTo(72);
    assertThat(timeouts.timeoutMs(SERVICE, 145, 2)).isEqualTo(290);
    assertThat(timeouts.timeoutMs(SERVICE, 20, 0)).isEqualTo(60);
    assertThat(timeouts.timeoutMs(SERVICE, 1_519, 0)).isEqualTo(500);
    assertThat(timeouts.timeoutMs(SERVICE, 145, 9)).isEqualTo(500);
  }
}
