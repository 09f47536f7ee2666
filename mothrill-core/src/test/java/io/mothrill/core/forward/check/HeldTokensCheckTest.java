package io.mothrill.core.forward.check;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.capacity.EngineHoldings;
import io.mothrill.core.forward.capacity.HeldTokens;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.plan.ServicePlan;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.forward.upstream.UpstreamQuery.Eligibility;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

// Guards against crashing an engine by more tokens than its memory, and against rejecting requests
// in deployments that do not ask for decisions under load.
class HeldTokensCheckTest {

  private static final long MEMORY_TOKENS = 100_000;
  private static final long NOW_MS = 1_000;

  private final RegisteredUpstream engine = TestUpstreams.started("i-1", "konya", 1);
  private final EngineHoldings holdings = new EngineHoldings(LoadFeatures.of(true));

  private Optional<Rejection> check(LoadFeatures features, long memoryTokens, long requestTokens) {
    ServicePlan service =
        new ServicePlan(
            engine.service(),
            100,
            Optional.of(new ServicePlan.EnginePlan(8, memoryTokens, 1)),
            Optional.empty());
    ForwardingPlan plan =
        new ForwardingPlan(1, List.of(), List.of(service), List.of(), CallerBounds.standard());
    UpstreamQuery query =
        new UpstreamQuery(
            engine.service(),
            800,
            Optional.of(new Prompt("m", requestTokens, 0, List.of())),
            RegionRestriction.unrestricted(),
            Set.of(),
            Eligibility.unrestricted());
    return new HeldTokensCheck(features, new PublishedValue<>(plan), holdings)
        .check(engine, query, NOW_MS);
  }

  private Optional<Rejection> check(long requestTokens) {
    return check(LoadFeatures.of(true), MEMORY_TOKENS, requestTokens);
  }

  private HeldTokens hold(long tokens) {
    return holdings.onSent(engine, tokens, tokens, NOW_MS);
  }

  @Test
  void requestThatMightExceedTheMemoryIsRejectedWithRetryTime() {
    hold(60_000);

    assertThat(check(30_000)).isEmpty();
    assertThat(check(30_001)).hasValue(new Rejection(Cause.ALL_FULL, 200));
  }

  @Test
  void tokensKnownFromOthersLeaveLessRoom() {
    hold(20_000);
    holdings.onNotice(engine, 50_000, NOW_MS);

    assertThat(check(20_000)).isEmpty();
    assertThat(check(20_001)).isPresent();
  }

  @Test
  void requestLargerThanNineTenthsIsSentOnlyToAnEngineThatHoldsNothing() {
    assertThat(check(95_000)).isEmpty();

    hold(1);

    assertThat(check(95_000)).isPresent();
  }

  @Test
  void requestThatEndsByResetGivesItsTokensBackOnce() {
    hold(30_000);
    HeldTokens reset = hold(60_000);
    assertThat(check(1_000)).isPresent();

    reset.release();
    reset.end(NOW_MS);

    assertThat(check(60_000)).isEmpty();
    assertThat(check(60_001)).isPresent();
  }

  @Test
  void planWithoutMemoryDecidesNothing() {
    hold(90_000);

    assertThat(check(LoadFeatures.of(true), 0, 90_000)).isEmpty();
  }

  @Test
  void nothingIsDecidedWhereDecisionsUnderLoadAreNotActive() {
    hold(90_000);

    assertThat(check(LoadFeatures.onDemand(), MEMORY_TOKENS, 90_000)).isEmpty();
  }
}
