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

  private static int acquireAll(SharedRetryBudget budget) {
    int acquired = 0;
    while (budget.tryAcquire(SERVICE)) {
      acquired++;
    }
    return acquired;
  }

  // Guards against a retry storm: every upstream fails, and all instances retry as often as they
  // may, at any moment of the window. Together they stay below the limit, even with half as many
  // instances more than any of them knows of.
  @Test
  void allInstancesTogetherStayBelowTheLimitInAnyWindow() {
    List<SharedRetryBudget> budgets =
        new ArrayList<>(IntStream.range(0, 9).mapToObj(index -> budget(6)).toList());
    int acquired = 0;
    int requests = 0;
    for (int step = 0; step < 100; step++) {
      for (SharedRetryBudget budget : budgets) {
        budget.onRequest(SERVICE);
        requests++;
        acquired += acquireAll(budget);
      }
      timers.advanceMs(BOUNDS.windowMs() / 100);
    }
    assertThat((double) acquired).isAtMost(BOUNDS.ratio() * requests + BOUNDS.extraCount());
  }

  // With seventy instances the part of each is less than one retry. A caller whose request was sent
  // to an upstream that had just been replaced must not be refused for that.
  @Test
  void oneOfManyInstancesMayRetry() {
    SharedRetryBudget budget = new SharedRetryBudget(MANY, () -> 70, timers);

    assertThat(acquireAll(budget)).isEqualTo(1);
  }

  // Seventy instances get seven requests per second each. First all upstreams work, so the
  // instances save up retries, and then all upstreams fail for an equally long time.
  @Test
  void manyInstancesTogetherStayBelowTheLimit() {
    List<SharedRetryBudget> budgets =
        IntStream.range(0, 70)
            .mapToObj(index -> new SharedRetryBudget(MANY, () -> 70, timers))
            .toList();
    for (int step = 0; step < 70; step++) {
      budgets.forEach(budget -> budget.onRequest(SERVICE));
      timers.advanceMs(MANY.windowMs() / 70);
    }
    int acquired = 0;
    for (int step = 0; step < 70; step++) {
      for (SharedRetryBudget budget : budgets) {
        budget.onRequest(SERVICE);
        acquired += acquireAll(budget);
      }
      timers.advanceMs(MANY.windowMs() / 70);
    }
    assertThat((double) acquired).isAtMost(MANY.ratio() * 70 * 70 + MANY.extraCount());
  }

  // With more instances than additional retries, only retries earned by requests may be spent.
  @Test
  void thousandsOfInstancesSpendOnlyEarnedRetries() {
    SharedRetryBudget budget = new SharedRetryBudget(MANY, () -> 1_700, timers);

    assertThat(acquireAll(budget)).isEqualTo(0);
    IntStream.range(0, 15).forEach(request -> budget.onRequest(SERVICE));
    assertThat(acquireAll(budget)).isEqualTo(1);
  }

  @Test
  void noRetriesWhileInstanceCountIsUnknown() {
    assertThat(acquireAll(budget(0))).isEqualTo(0);
  }

  @Test
  void servicesDoNotShareTheirBudgets() {
    SharedRetryBudget budget = budget(6);
    acquireAll(budget);

    assertThat(budget.tryAcquire("asistan")).isTrue();
  }
}
