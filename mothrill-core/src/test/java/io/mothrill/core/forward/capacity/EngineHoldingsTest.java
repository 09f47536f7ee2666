package io.mothrill.core.forward.capacity;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.List;
import org.junit.jupiter.api.Test;

// Guards against counting what an engine no longer holds, and against missing what it does hold.
class EngineHoldingsTest {

  private static final long RESPONSE_MS = 4_000;

  private final RegisteredUpstream engine = TestUpstreams.started("i-1", "konya", 1);
  private final RegisteredUpstream other = TestUpstreams.started("i-2", "konya", 1);
  private final EngineHoldings holdings = new EngineHoldings(LoadFeatures.of(true));

  /** Completes requests elsewhere, from which the averages of the service are learned. */
  private void completeRequests(long maxTokens, long uncachedTokens) {
    for (int number = 0; number < 10; number++) {
      holdings.onSent(other, maxTokens, uncachedTokens, 0).end(RESPONSE_MS);
    }
  }

  @Test
  void noticeCountsWithTheAverageCachedPartAndOutputUntilTheResponseHasEnded() {
    completeRequests(12_000, 9_000);

    holdings.onNotice(engine, 40_000, 0);

    assertThat(holdings.tokens(engine, RESPONSE_MS)).isEqualTo(43_000);
    assertThat(holdings.tokens(engine, 4 * RESPONSE_MS)).isEqualTo(0);
  }

  // The notices of a nearly full engine would expire while its requests are still waiting.
  @Test
  void noticeCountsLongerAtAnEngineThatHoldsMore() {
    for (int number = 0; number < 60; number++) {
      holdings.onSent(other, 50_000, 50_000, 0).end(2_000);
      HeldTokens many = holdings.onSent(other, 300_000, 300_000, 0);
      holdings.onSent(other, 50_000, 50_000, 0).end(6_000);
      many.release();
    }
    holdings.onNotice(other, 50_000, 0);
    holdings.onSent(engine, 300_000, 300_000, 0);
    holdings.onNotice(engine, 50_000, 0);

    assertThat(holdings.tokens(other, 5_000)).isEqualTo(0);
    assertThat(holdings.tokens(engine, 6_000)).isEqualTo(350_000);
  }

  @Test
  void requestsThatBreakDoNotShortenTheExpectedTime() {
    completeRequests(12_000, 12_000);
    for (int number = 0; number < 100; number++) {
      holdings.onSent(other, 12_000, 12_000, 0).release();
    }

    holdings.onNotice(engine, 40_000, 0);

    assertThat(holdings.tokens(engine, RESPONSE_MS)).isEqualTo(40_000);
  }

  // A notice was lost: the engine reports more requests than are known.
  @Test
  void reportedRequestsThatAreNeitherOwnNorAnnouncedCountAsAverageOnesAndFade() {
    completeRequests(12_000, 12_000);
    holdings.onSent(engine, 12_000, 12_000, 0);
    holdings.onNotice(engine, 40_000, 0);

    holdings.onReport(engine, 3, 1, 0);

    assertThat(holdings.tokens(engine, 0)).isEqualTo(12_000 + 40_000 + 2 * 12_000);
    assertThat(holdings.tokens(engine, RESPONSE_MS / 2)).isLessThan(12_000 + 40_000 + 2 * 12_000);
    assertThat(holdings.tokens(engine, 4 * RESPONSE_MS)).isEqualTo(12_000);
  }

  @Test
  void engineReplacedUnderItsIdStartsWithoutHoldings() {
    HeldTokens held = holdings.onSent(engine, 12_000, 12_000, 0);
    holdings.onNotice(engine, 40_000, 0);
    RegisteredUpstream replacement = TestUpstreams.started("i-1", "konya", 2);

    holdings.retain(new UpstreamList(List.of(replacement)));
    held.end(100);

    assertThat(holdings.tokens(replacement, 100)).isEqualTo(0);
    assertThat(holdings.ownTokens()).isEqualTo(0);
    assertThat(holdings.othersTokens(100)).isEqualTo(0);
  }

  @Test
  void delistedEngineKeepsItsHoldingsWhileOwnRequestsAreInFlight() {
    HeldTokens held = holdings.onSent(engine, 12_000, 12_000, 0);

    holdings.retain(new UpstreamList(List.of(other)));
    assertThat(holdings.maxTokens(0)).isEqualTo(12_000);

    held.end(100);
    holdings.retain(new UpstreamList(List.of(other)));
    assertThat(holdings.maxTokens(100)).isEqualTo(0);
  }

  @Test
  void othersAreNotTrackedWhereDecisionsUnderLoadAreNotActive() {
    EngineHoldings inactive = new EngineHoldings(LoadFeatures.onDemand());
    inactive.onSent(other, 12_000, 12_000, 0);

    inactive.onNotice(engine, 40_000, 0);
    inactive.onReport(engine, 10, 10, 0);

    assertThat(inactive.othersTokens(0)).isEqualTo(0);
  }
}
