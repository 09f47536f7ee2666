package io.mothrill.core.budget;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.Transaction;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseTest {

  private final BudgetBench bench = new BudgetBench("konya-1");

  private Row row() {
    return bench.table.read(List.of(BudgetTables.lease(bench.lease.incarnation()))).join().get(0);
  }

  @Test
  void countsFromWhenTheRenewalWasSent() {
    // GIVEN
    bench.way.slowDown(5_000);
    long sentAtMs = bench.timers.nowMs();
    // WHEN
    var renewed = bench.lease.renew();
    bench.timers.advanceMs(11_000);
    // THEN
    assertThat(renewed.isDone()).isTrue();
    assertThat(bench.lease.spendUntilMs()).isEqualTo(sentAtMs + 600_000 - 60_000);
  }

  // An instance sleeps past its lease; others close it and remove its row. When it wakes up it must
  // not renew the lease as if it were new: what it held was granted to others.
  @Test
  void staysClosedWhenItsRowWasRemoved() {
    // GIVEN
    var removed = bench.table.write(new Transaction(List.of(), List.of()).andDelete(row())).join();
    // WHEN
    var renewed = bench.lease.renew();
    // THEN
    assertThat(removed).isTrue();
    assertThat(renewed.isCompletedExceptionally()).isTrue();
    assertThat(bench.lease.isClosed()).isTrue();
    assertThat(bench.lease.isInForce()).isFalse();
    assertThat(row().exists()).isFalse();
  }
}
