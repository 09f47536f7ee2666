package io.mothrill.core.forward.retry;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {

  private static final RetryBounds BOUNDS = new RetryBounds(0.2, 52, 10_000);
  private static final RetryBounds MANY = new RetryBounds(0.2, 176, 10_000);
  private static final String SERVICE = "sira";

  private final ManualTimers timers = new ManualTimers();

  private SharedRetryBudget budget(int instances) {
    return new SharedRetryBudget(BOUNDS, () -> instances, timers);
  }

  private static int takeAll(SharedRetryBudget budget) {
    int taken = 0;
    while (budget.tryAcquire(SERVICE)) {
      taken++;
    }
    return taken;
  }

  // Pattern: every upstream fails, and all instances send again as often as they may, at any
  // moment of the window. Together they stay below what is allowed, even with half as many
  // instances more than any of them knows of.
  @Test
  void allInstancesTogetherStayBelowTheBoundInAnyWindow() {
    List<SharedRetryBudget> budgets =
        new ArrayList<>(IntStream.range(0, 9).mapToObj(index -> budget(6)).toList());
    int taken = 0;
    int requests = 0;
    for (int step = 0; step < 100; step++) {
      for (SharedRetryBudget budget : budgets) {
        budget.onRequest(SERVICE);
        requests++;
        taken += takeAll(budget);
      }
      timers.advanceMs(BOUNDS.windowMs() / 100);
    }
    assertThat((double) taken).isAtMost(BOUNDS.ratio() * requests + BOUNDS.extraCount());
  }

  // With seventy instances the part of each is less than one send. A caller whose request met an
  // upstream that had just been replaced must not be refused for that.
  @Test
  void oneOfManyInstancesMaySendAgain() {
    SharedRetryBudget budget = new SharedRetryBudget(MANY, () -> 70, timers);

    assertThat(takeAll(budget)).isEqualTo(1);
  }

  // Pattern: seventy instances with seven requests a second each, and all upstreams fail for as
  // long as the calm before had let the instances save up.
  @Test
  void manyInstancesTogetherStayBelowTheBound() {
    List<SharedRetryBudget> budgets =
        IntStream.range(0, 70)
            .mapToObj(index -> new SharedRetryBudget(MANY, () -> 70, timers))
            .toList();
    for (int step = 0; step < 70; step++) {
      budgets.forEach(budget -> budget.onRequest(SERVICE));
      timers.advanceMs(MANY.windowMs() / 70);
    }
    int taken = 0;
    for (int step = 0; step < 70; step++) {
      for (SharedRetryBudget budget : budgets) {
        budget.onRequest(SERVICE);
        taken += takeAll(budget);
      }
      timers.advanceMs(MANY.windowMs() / 70);
    }
    assertThat((double) taken).isAtMost(MANY.ratio() * 70 * 70 + MANY.extraCount());
  }

  // With more instances than sends are allowed besides, only what requests earn may be spent.
  @Test
  void thousandsOfInstancesSpendOnlyWhatRequestsEarn() {
    SharedRetryBudget budget = new SharedRetryBudget(MANY, () -> 1_700, timers);

    assertThat(takeAll(budget)).isEqualTo(0);
    IntStream.range(0, 15).forEach(request -> budget.onRequest(SERVICE));
    assertThat(takeAll(budget)).isEqualTo(1);
  }

  @Test
  void nothingIsSentAgainWhileOthersAreUnknown() {
    assertThat(takeAll(budget(0))).isEqualTo(0);
  }

  @Test
  void servicesDoNotShareTheirBudgets() {
    SharedRetryBudget budget = budget(6);
    takeAll(budget);

    assertThat(budget.tryAcquire("asistan")).isTrue();
  }
}
