package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * The lease under which this incarnation spends its allotments.
 *
 * <p>One row covers all allotments of an instance, so the platform is written to once per instance
 * and renewal, regardless of the number of budgets.
 */
public final class Lease {

  static final String RENEWED_WALL_MS = "renewedWallMs";
  static final String LEASE_MS = "leaseMs";
  static final String CLOSED = "closed";
  private static final int RENEWALS_PER_LEASE = 60;

  private final TableService table;
  private final Timers timers;
  private final String incarnation;
  private final long leaseMs;
  private final long marginMs;
  private final AtomicLong spendUntilMs = new AtomicLong(Long.MIN_VALUE);
  private volatile boolean closed;
  private volatile boolean renewed;

  /**
   * Creates the lease and starts its periodic renewal.
   *
   * @param table the platform's table
   * @param timers the clock and timer service
   * @param incarnation the incarnation that holds the lease
   * @param leaseMs the duration of the lease after a renewal
   * @param marginMs the time before the end of the lease from which no more tokens are reserved;
   *     longer than the longest request
   */
  public Lease(TableService table, Timers timers, String incarnation, long leaseMs, long marginMs) {
    this.table = table;
    this.timers = timers;
    this.incarnation = incarnation;
    this.leaseMs = leaseMs;
    this.marginMs = marginMs;
    timers.every(Math.max(1, leaseMs / RENEWALS_PER_LEASE), this::renewInBackground);
    timers.after(0, this::renewInBackground);
  }

  /**
   * Checks whether a lease has been closed by another instance.
   *
   * @param row the lease's row
   * @return true once its allotments are being reclaimed
   */
  public static boolean isClosedRow(Row row) {
    return row.cells().number(CLOSED) == 1;
  }

  /**
   * Returns the incarnation that holds the lease.
   *
   * @return the incarnation
   */
  public String incarnation() {
    return incarnation;
  }

  /**
   * Returns the time until which tokens may be reserved under this lease.
   *
   * @return a time of the timer service, in milliseconds
   */
  public long spendUntilMs() {
    return spendUntilMs.get();
  }

  /**
   * Checks whether the lease is valid now.
   *
   * @return true while tokens and ranges held under it may be used
   */
  public boolean isValid() {
    return timers.nowMs() < spendUntilMs();
  }

  /**
   * Checks whether another instance has closed the lease, after which this incarnation can hold
   * nothing.
   *
   * @return true once the lease was found closed
   */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Renews the lease.
   *
   * @return the row of the lease after the renewal; fails when the platform does not respond
   */
  public CompletableFuture<Row> renew() {
    long sentAtMs = timers.nowMs();
    return table
        .read(List.of(BudgetTables.lease(incarnation)))
        .thenCompose(rows -> write(rows.get(0), sentAtMs))
        .whenComplete(
            (row, error) -> {
              if (error != null) {
                Logger.debug("lease renewal failed: {}", error.getMessage());
              }
            });
  }

  private void renewInBackground() {
    var unused = renew();
  }

  /**
   * Writes the renewal, unless the lease was closed.
   *
   * <p>An instance may resume after its lease was closed and its row was removed. If it renewed the
   * lease as a new one, it would spend an allotment that has been granted to others. A row that
   * existed before and no longer exists therefore counts as closed.
   */
  private CompletableFuture<Row> write(Row row, long sentAtMs) {
    boolean rowRemoved = renewed && !row.exists();
    if (rowRemoved || row.cells().number(CLOSED) == 1) {
      closed = true;
      spendUntilMs.set(Long.MIN_VALUE);
      Logger.error(
          "lease of {} was closed by another instance; no more tokens are reserved", incarnation);
      return CompletableFuture.failedFuture(new IllegalStateException("lease closed"));
    }
    Cells cells = Cells.empty().with(RENEWED_WALL_MS, timers.wallMs()).with(LEASE_MS, leaseMs);
    return table
        .write(Transaction.on(row, cells))
        .thenApply(
            written -> {
              if (!written) {
                throw new IllegalStateException("lease row changed during renewal");
              }
              long untilMs = sentAtMs + leaseMs - marginMs;
              spendUntilMs.accumulateAndGet(untilMs, Math::max);
              renewed = true;
              return new Row(row.key(), row.version() + 1, cells);
            });
  }
}
