package io.mothrill.core.forward.admission;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against wrong shares, and against retry times that callers ignore or that cost tokens. */
class AdmissionRulesTest {

  private final ManualTimers timers = new ManualTimers();
  private final RetryAfterPolicy policy = new RetryAfterPolicy(new Random(7));

  @Test
  void whatSmallTeamsDoNotUseIsAvailableToLargeOnes() {
    assertThat(MaxMinShares.largestShare(new double[] {14, 2, 2, 2}, 10)).isEqualTo(4.0);
    assertThat(MaxMinShares.largestShare(new double[] {3, 3}, 10)).isPositiveInfinity();
    assertThat(MaxMinShares.largestShare(new double[] {3, 3}, 2)).isEqualTo(1.0);
  }

  @Test
  void retryTimeIsWithinThirdOfRemainingTime() {
    IntStream.range(0, 1_000)
        .forEach(
            ahead ->
                assertThat(policy.untilSlotFreeMs(ahead, 0.05, 10 * ahead))
                    .isAtMost(Math.max(1, 10 * ahead / 3)));
  }

  @Test
  void timesOfSpendingAreSpreadButNotShortened() {
    LoadFeatures active = LoadFeatures.of(true);
    assertThat(
            IntStream.range(0, 100)
                .mapToObj(unused -> tokensElsewhere(active, 1_200))
                .distinct()
                .toList()
                .size())
        .isAtLeast(20);
    assertThat(tokensElsewhere(active, 1_200)).isAtLeast(1_200);
    assertThat(tokensElsewhere(active, 3_000)).isAtLeast(3_000);
  }

  @Test
  void timesStayFixedWhereDecisionsUnderLoadAreNotActive() {
    assertThat(tokensElsewhere(LoadFeatures.onDemand(), 1_200)).isEqualTo(1_200);
  }

  @Test
  void mostUrgentHalfOfThePrioritiesInUseIsUrgent() {
    PriorityUse priorities = new PriorityUse();
    priorities.onRequest(2, 0);
    assertThat(priorities.isUrgent(2)).isTrue();
    priorities.onRequest(0, 1);
    assertThat(priorities.isUrgent(0)).isTrue();
    assertThat(priorities.isUrgent(2)).isFalse();
  }

  private long tokensElsewhere(LoadFeatures features, long retryAfterMs) {
    ServiceAdmissions admissions =
        new ServiceAdmissions(
            features, (service, nowMs) -> new Occupancy(1, 1, 9), policy, timers, new Random(7));
    RequestAdmission admission =
        new RequestAdmission(
            admissions.find("plain"), new AdmissionRequest("a", 0, 145, timers.nowMs() + 5_000));
    return admission
        .withRetryTime(ForwardRefusal.retryAfter(Cause.TOKENS_ELSEWHERE, retryAfterMs))
        .retryAfterMs()
        .getAsLong();
  }
}
