package io.mothrill.core.forward.crash;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Grants trials one at a time in the fleet, with one row of the platform's table.
 *
 * <p>Instances that are partitioned from each other might all send a trial if they agreed by
 * messages. The row is written only if it still has the version that was read, so one instance at a
 * time holds it. It lapses, as the instance that holds it may end.
 */
final class TrialTable {

  static final String TABLE = "trial";

  /**
   * Time until the row lapses. It covers the prefill of a prompt, the confirmation of a crash and
   * its way to the other instances.
   */
  static final long LEASE_MS = 2_000;

  private static final RowKey KEY = new RowKey(TABLE, "current");
  private static final String HOLDER = "holder";
  private static final String UNTIL = "untilMs";

  private final String holder;
  private final TableService rows;
  private final StoreClock storeClock;

  /**
   * Creates the table.
   *
   * @param holder the name of this instance
   * @param rows the platform's table
   * @param storeClock the clock of the store, in which the row holds its time
   */
  TrialTable(String holder, TableService rows, StoreClock storeClock) {
    this.holder = holder;
    this.rows = rows;
    this.storeClock = storeClock;
  }

  /**
   * Acquires the row.
   *
   * @return the cells that were written; empty if another request holds the row
   */
  CompletableFuture<Optional<Cells>> acquire() {
    return rows.read(List.of(KEY))
        .thenCompose(
            read -> isHeld(read.get(0)) ? completed(Optional.empty()) : write(read.get(0)));
  }

  /** A time too far ahead was not written by an instance. */
  private boolean isHeld(Row row) {
    long remainingMs = row.cells().number(UNTIL) - storeClock.nowMs();
    return row.exists() && remainingMs > 0 && remainingMs <= LEASE_MS;
  }

  private CompletableFuture<Optional<Cells>> write(Row row) {
    Cells held = Cells.empty().with(HOLDER, holder).with(UNTIL, storeClock.nowMs() + LEASE_MS);
    return rows.write(Transaction.on(row, held))
        .thenApply(written -> Optional.of(held).filter(cells -> written));
  }

  /**
   * Deletes the row if it is still held.
   *
   * @param held the cells that were written
   */
  CompletableFuture<Boolean> release(Cells held) {
    return rows.read(List.of(KEY))
        .thenCompose(
            read ->
                read.get(0).cells().equals(held)
                    ? rows.write(new Transaction(List.of(), List.of()).andDelete(read.get(0)))
                    : completed(false));
  }

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }
}
