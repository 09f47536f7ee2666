package io.mothrill.core.forward.spending;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PeerSpendingTest {

  private static final long NOW_MS = 10_000;
  private static final long DEMAND_TOKENS_PER_S = 200;

  private static InstanceSpending row(long sentAtMs, String team, long spent, long limit) {
    return new InstanceSpending(
        sentAtMs,
        "10.0.0.1",
        1,
        "konya",
        Map.of(team, new SpendingGrant(spent, limit, 0, 0, 0, DEMAND_TOKENS_PER_S)));
  }

  @Test
  void estimatesWhatInstancesHaveSpentSinceTheirRows() {
    PeerSpending others =
        new PeerSpending(
            List.of(row(NOW_MS, "branch", 1_000, 5_000), row(NOW_MS - 2_000, "branch", 300, 5_000)),
            List.of(),
            NOW_MS);

    assertThat(others.of("branch").spentTokens()).isEqualTo(1_000 + 300 + DEMAND_TOKENS_PER_S);
    assertThat(others.of("branch").demandTokensPerS()).isEqualTo(2 * DEMAND_TOKENS_PER_S);
    assertThat(others.activeCount()).isEqualTo(2);
  }

  // An instance that no longer renews its row may be partitioned and still spending, up to its
  // limit.
  @Test
  void countsTheFullLimitOfInactiveInstances() {
    PeerSpending others =
        new PeerSpending(
            List.of(row(NOW_MS, "branch", 1_000, 5_000)),
            List.of(row(0, "branch", 300, 4_000)),
            NOW_MS);

    assertThat(others.of("branch").inactiveLimitTokens()).isEqualTo(4_000);
    assertThat(others.of("branch").spentTokens()).isEqualTo(1_000);
    assertThat(others.activeCount()).isEqualTo(1);
  }

  @Test
  void keepsTeamsApart() {
    PeerSpending others =
        new PeerSpending(List.of(row(NOW_MS, "branch", 1_000, 5_000)), List.of(), NOW_MS);

    assertThat(others.of("hall")).isEqualTo(new PeerSpending.Totals(0, 0, 0));
  }
}
