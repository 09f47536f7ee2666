package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class DemandSharePolicyTest {

  private static final long LEFT_TOKENS = 7_000_000;
  private static final long TYPICAL_TOKENS = 5_000;
  private static final int INSTANCES = 70;

  private final SharePolicy policy = new DemandSharePolicy();

  private long holding(long ownTokensPerS, long allTokensPerS) {
    return policy.targetTokens(
        new SharePolicy.Input(
            LEFT_TOKENS, ownTokensPerS, allTokensPerS, INSTANCES, TYPICAL_TOKENS));
  }

  // Guards against refusals when requests are rare: of seventy instances with seven requests per
  // second in total, one without recent requests is as likely as any other to receive the next
  // request, and must hold enough for several.
  @Test
  void instanceWithoutDemandHoldsSeveralRequestsWhenRequestsAreRare() {
    assertThat(holding(0, 7 * TYPICAL_TOKENS)).isAtLeast(10 * TYPICAL_TOKENS);
  }

  @Test
  void sharesFollowDemandWhenRequestsAreFrequent() {
    long perInstance = 10 * TYPICAL_TOKENS;
    long busy = holding(2 * perInstance, INSTANCES * perInstance);
    long quiet = holding(0, INSTANCES * perInstance);

    assertThat(busy).isAtLeast(5 * quiet);
  }

  @Test
  void sharesLeaveUnassignedTokensInTheTable() {
    long equal = holding(TYPICAL_TOKENS, INSTANCES * TYPICAL_TOKENS);

    assertThat(INSTANCES * equal).isLessThan(LEFT_TOKENS);
  }

  // Guards against splitting the last tokens into shares that are smaller than one request.
  @Test
  void holdsNothingWhenTheSharesAreSmallerThanOneRequest() {
    long holding =
        policy.targetTokens(
            new SharePolicy.Input(
                INSTANCES * TYPICAL_TOKENS - 1, 100, 7_000, INSTANCES, TYPICAL_TOKENS));

    assertThat(holding).isEqualTo(0);
  }
}
