package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SpendingGrantBoundTest {

  private static final SpendingGrant GRANT = new SpendingGrant(1_000, 5_000, 500, 100, 400, 0);

  @Test
  void isSpentPlusImmediateTokensBeforeSlowRelease() {
    assertThat(GRANT.boundAfterMs(0)).isEqualTo(1_500);
    assertThat(GRANT.boundAfterMs(SpendingGrant.SLOW_RELEASE_AFTER_MS)).isEqualTo(1_500);
  }

  @Test
  void risesAtSlowRate() {
    assertThat(GRANT.boundAfterMs(SpendingGrant.SLOW_RELEASE_AFTER_MS + 1_000)).isEqualTo(1_600);
  }

  @Test
  void risesAtFastRateWithoutRenewal() {
    long slow = GRANT.boundAfterMs(SpendingGrant.FAST_RELEASE_AFTER_MS);

    assertThat(GRANT.boundAfterMs(SpendingGrant.FAST_RELEASE_AFTER_MS + 1_000))
        .isEqualTo(slow + 400);
  }

  @Test
  void neverExceedsTheLimit() {
    assertThat(GRANT.boundAfterMs(3_600_000)).isEqualTo(5_000);
  }

  @Test
  void givesTimeUntilAmountIsReleased() {
    long silenceMs = GRANT.timeToReachMs(2_500);

    assertThat(GRANT.boundAfterMs(silenceMs)).isAtLeast(2_500);
    assertThat(GRANT.boundAfterMs(silenceMs - 20)).isLessThan(2_500);
    assertThat(GRANT.timeToReachMs(5_001)).isEqualTo(SpendingGrant.NEVER_MS);
  }

  @Test
  void leavesNothingToSpendWhenItIsClosed() {
    SpendingGrant closed = GRANT.closedAfterMs(SpendingGrant.SLOW_RELEASE_AFTER_MS + 1_000);

    assertThat(closed.spentTokens()).isEqualTo(1_600);
    assertThat(closed.boundAfterMs(3_600_000)).isEqualTo(1_600);
  }
}
