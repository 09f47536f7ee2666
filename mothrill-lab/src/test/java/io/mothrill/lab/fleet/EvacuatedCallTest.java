package io.mothrill.lab.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.request.NotRun;
import io.mothrill.core.request.Refusal;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.EvacuationSpec;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

// Guards against sending calls to an evacuated failure domain, which an operator evacuates before
// maintenance. Calls on mothrill's own interface go to upstreams in other domains; if there are
// none, callers are refused immediately as not run.
class EvacuatedCallTest {

  private static final int CALLS = 8;

  /** A change is applied by all instances within a few polling intervals. */
  private static final long APPLY_MS = 3_000;

  private final Fleet fleet = new Fleet(NodeSettings.standard(), 1);

  @BeforeEach
  void startFleet() {
    fleet.start("konya-1", "konya");
    fleet.declare("team", new TeamSpec(List.of(TeamKey.hash("salt", PlainCalls.SECRET)), 1));
    fleet.declare(
        "budget", new BudgetSpec("team", List.of(), List.of(new TopUp("paid", 1_000_000))));
    fleet.declare(
        "sira", new ServiceSpec(ServiceType.PLAIN, Priority.URGENT, true, 100, 1, 30_000));
    declareUpstream("here", "konya");
    declareUpstream("there", "kayseri");
    fleet.advanceMs(60_000);
  }

  private void declareUpstream(String name, String domain) {
    fleet.declare(name, new UpstreamSpec("sira", name, 1, domain, 32, false));
    fleet.upstream(name);
  }

  private void evacuate(String domain) {
    fleet.declare(domain, new EvacuationSpec());
    fleet.advanceMs(APPLY_MS);
  }

  private MemoryCaller call(int number) {
    return fleet.call("konya-1", PlainCalls.to("sira", "call " + number));
  }

  private int runsAt(String upstream) {
    int runs = 0;
    for (int number = 0; number < CALLS; number++) {
      runs += fleet.upstream(upstream).runsOf("call " + number);
    }
    return runs;
  }

  @Test
  void callsGoToTheOtherDomains() {
    evacuate("konya");

    for (int number = 0; number < CALLS; number++) {
      call(number);
    }
    fleet.advanceMs(1_000);

    assertThat(runsAt("here")).isEqualTo(0);
    assertThat(runsAt("there")).isEqualTo(CALLS);
  }

  @Test
  void callersAreRefusedImmediatelyAsNotRunWhenAllDomainsAreEvacuated() {
    evacuate("konya");
    evacuate("kayseri");

    MemoryCaller caller = call(0);
    fleet.advanceMs(1);

    Refusal refusal = caller.refusal().orElseThrow();
    assertThat(refusal.notRun()).isEqualTo(NotRun.TRUE);
    assertThat(refusal.retryAfterMs()).isGreaterThan(0L);
  }
}
