package io.mothrill.lab.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.request.CallRequest;
import io.mothrill.core.request.NotRun;
import io.mothrill.core.request.Refusal;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

// Guards against a call that crashes every upstream that runs it. Its caller is told that the
// outcome is unknown and retries without a key at another instance; each retry counts as a new
// call. When crashes were recorded only per call, 10 retries crashed 30 upstreams. Crashes are
// therefore recorded by the call's fingerprint and reported to the other instances.
class CrashingCallTest {

  private static final String CRASHING_BODY = "deadly";
  private static final int UPSTREAMS = 6;
  private static final int REPEATS = 10;
  private static final int CRASHES = 3;

  /** After this time a crashed upstream has restarted and the caller retries. */
  private static final long RETRY_PAUSE_MS = 5_000;

  /** Less than the time that an upstream takes to answer. */
  private static final long UNTIL_SENT_MS = 100;

  private final Fleet fleet = new Fleet(NodeSettings.standard(), 1);

  private void startFleet() {
    fleet.start("konya-1", "konya");
    fleet.start("konya-2", "konya");
    fleet.declare("team", new TeamSpec(List.of(TeamKey.hash("salt", PlainCalls.SECRET)), 1));
    fleet.declare(
        "budget", new BudgetSpec("team", List.of(), List.of(new TopUp("paid", 1_000_000))));
    fleet.declare(
        "asistan", new ServiceSpec(ServiceType.PLAIN, Priority.URGENT, true, 100, 1, 30_000));
    IntStream.range(0, UPSTREAMS)
        .mapToObj(number -> "upstream-" + number)
        .forEach(
            name -> {
              fleet.declare(name, new UpstreamSpec("asistan", name, 1, "konya", 32, false));
              fleet.upstream(name).crashOn(CRASHING_BODY);
            });
    fleet.advanceMs(60_000);
  }

  private static CallRequest request() {
    return PlainCalls.to("asistan", CRASHING_BODY);
  }

  @Test
  void isSentToNoUpstreamAfterThreeCrashes() {
    startFleet();

    for (int repeat = 0; repeat < REPEATS; repeat++) {
      fleet.call(repeat % 2 == 0 ? "konya-1" : "konya-2", request());
      fleet.advanceMs(RETRY_PAUSE_MS);
    }

    int runs =
        fleet.upstreams().stream().mapToInt(upstream -> upstream.runsOf(CRASHING_BODY)).sum();
    assertThat(runs).isEqualTo(CRASHES);
  }

  // Three upstreams have crashed. The call arrives at the instance that knows this only from
  // reports; its caller is told immediately that the call was not run and when to retry.
  @Test
  void isRefusedAsNotRunWithRetryAfter() {
    startFleet();
    for (int repeat = 0; repeat < CRASHES; repeat++) {
      fleet.call("konya-1", request());
      fleet.advanceMs(RETRY_PAUSE_MS);
    }

    MemoryCaller caller = fleet.call("konya-2", request());
    fleet.advanceMs(1);

    Refusal refusal = caller.refusal().orElseThrow();
    assertThat(refusal.code()).isEqualTo("crashes_upstreams");
    assertThat(refusal.notRun()).isEqualTo(NotRun.TRUE);
    assertThat(refusal.retryAfterMs()).isGreaterThan(0L);
  }

  // Guards against blaming a call that was in flight at an upstream when another call crashed it:
  // it is not quarantined and is served by the next upstream that stays up.
  @Test
  void otherCallsInFlightAreServed() {
    startFleet();
    fleet.call("konya-1", request());
    MemoryCaller otherCall = fleet.call("konya-1", PlainCalls.to("asistan", "innocent"));
    fleet.advanceMs(RETRY_PAUSE_MS);
    assertThat(otherCall.refusal().map(Refusal::code))
        .isNotEqualTo(Optional.of("crashes_upstreams"));

    MemoryCaller again = fleet.call("konya-2", PlainCalls.to("asistan", "innocent"));
    fleet.advanceMs(RETRY_PAUSE_MS);

    assertThat(again.refusal()).isEqualTo(Optional.empty());
  }

  // Guards against taking lost paths for crashes: the connections of one instance are reset under
  // the same call at several upstreams, and new ones are refused there, while all upstreams run on.
  @Test
  void callIsServedAfterItsInstanceHasLostItsPaths() {
    startFleet();
    CallRequest innocent = PlainCalls.to("asistan", "innocent");
    for (int call = 0; call < 3 * UPSTREAMS; call++) {
      fleet.call("konya-1", innocent);
    }
    fleet.advanceMs(UNTIL_SENT_MS);
    assertThat(fleet.upstreams().stream().filter(upstream -> upstream.runningCount() > 0).count())
        .isAtLeast(CRASHES);

    fleet.resetPaths("konya-1");
    fleet.advanceMs(RETRY_PAUSE_MS);
    fleet.restorePaths("konya-1");
    MemoryCaller again = fleet.call("konya-2", innocent);
    fleet.advanceMs(RETRY_PAUSE_MS);

    assertThat(again.refusal()).isEqualTo(Optional.empty());
  }
}
