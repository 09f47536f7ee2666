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
 * The lease under which this incarnation spends what it was allotted.
 *
 * <p>One row serves all of an instance's allotments, so the platform is written to once per
 * instance and renewal, however many budgets there are.
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
   * Creates the lease and starts to renew it.
   *
   * @param table the platform's table
   * @param timers the time
   * @param incarnation the incarnation that holds the lease
   * @param leaseMs how long the lease lasts after a renewal
   * @param marginMs how long before its end nothing more is reserved: the longest request and more
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
   * Says whether a lease was closed by others.
   *
   * @param row the lease's row
   * @return true once its allotments are being taken back
   */
  public static boolean isClosedRow(Row row) {
    return row.cells().number(CLOSED) == 1;
  }

  /**
   * Gives the incarnation that holds the lease.
   *
   * @return the incarnation
   */
  public String incarnation() {
    return incarnation;
  }

  /**
   * Says how long tokens may be reserved under this lease.
   *
   * @return the time on the timer service
   */
  public long spendUntilMs() {
    return spendUntilMs.get();
  }

  /**
   * Says whether the lease is in force now.
   *
   * @return true while what is held under it may be used
   */
  public boolean isValid() {
    return timers.nowMs() < spendUntilMs();
  }

  /**
   * Says whether others have closed the lease, after which this incarnation can hold nothing.
   *
   * @return true once it was found closed
   */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Renews the lease.
   *
   * @return the lease's row after the renewal; fails when the platform does not answer
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
   * <p>Failure: an instance wakes up after its lease was closed and its row was removed, and renews
   * it as if it were new. Symptom: it spends an allotment that was granted to others. A row that
   * was there before and is not there now was closed.
   */
  private CompletableFuture<Row> write(Row row, long sentAtMs) {
    boolean rowRemoved = renewed && !row.exists();
    if (rowRemoved || row.cells().number(CLOSED) == 1) {
      closed = true;
      spendUntilMs.set(Long.MIN_VALUE);
      Logger.error("lease of {} was closed by another instance; it spends no more", incarnation);
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
