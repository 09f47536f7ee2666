package io.mothrill.core.budget;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * Reclaims the tokens that crashed instances were granted and have not billed.
 *
 * <p>When an instance crashes, the tokens of its allotments stay allotted, and the budget has
 * tokens that no instance can use. The instance may also only be paused or partitioned, and tokens
 * that it lent may be held by other instances, so the only proof that they are no longer spent is
 * that the lease under which they are spent has expired. Every holder stops before that by its own
 * clock, counted from the time at which it sent its last renewal. Bills may still be in transit, so
 * a grace period follows. A bill that arrives later finds the allotment closed and is stored
 * separately for operators.
 */
public final class Reclaimer {

  private static final long CHECK_MS = 30_000;
  private static final int SCAN_ROWS = 500;

  private final TableService table;
  private final PublishedValue<Membership> members;
  private final Timers timers;
  private final long graceMs;
  private final AtomicBoolean checkInFlight = new AtomicBoolean();

  /**
   * Creates the reclaimer and starts its periodic checks.
   *
   * @param table the platform's table
   * @param members the current membership, from which one instance is elected
   * @param timers the clock and timer service
   * @param graceMs the time after the end of a lease during which its allotments still accept bills
   */
  public Reclaimer(
      TableService table, PublishedValue<Membership> members, Timers timers, long graceMs) {
    this.table = table;
    this.members = members;
    this.timers = timers;
    this.graceMs = graceMs;
    timers.every(CHECK_MS, this::check);
  }

  /**
   * Checks whether this instance is elected to reclaim. If two instances consider themselves
   * elected, their writes conflict and nothing is lost.
   */
  private boolean isElected() {
    Membership view = members.read();
    List<InstanceRecord> reachable =
        view.activeInstances().stream().filter(view::isReachable).toList();
    return !reachable.isEmpty() && view.isSelf(RendezvousHash.rank("reclaimer", reachable).get(0));
  }

  private void check() {
    if (!isElected() || !checkInFlight.compareAndSet(false, true)) {
      return;
    }
    var unused =
        checkFrom("")
            .whenComplete(
                (nothing, error) -> {
                  checkInFlight.set(false);
                  if (error != null) {
                    Logger.debug("reclaim check failed: {}", error.getMessage());
                  }
                });
  }

  private CompletableFuture<Void> checkFrom(String afterKey) {
    return table
        .scan(BudgetTables.LEASES, "", afterKey, SCAN_ROWS)
        .thenCompose(
            rows -> {
              CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
              for (Row row : rows) {
                done = done.thenCompose(ignored -> isExpired(row) ? closeLease(row) : done());
              }
              return rows.size() < SCAN_ROWS
                  ? done
                  : done.thenCompose(nothing -> checkFrom(rows.get(rows.size() - 1).key().key()));
            });
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }

  private boolean isExpired(Row lease) {
    Cells cells = lease.cells();
    long expiryWallMs =
        cells.number(Lease.RENEWED_WALL_MS) + cells.number(Lease.LEASE_MS) + graceMs;
    return cells.number(Lease.CLOSED) == 1 || timers.wallMs() > expiryWallMs;
  }

  /**
   * Closes the lease before its allotments, so that a holder that resumes cannot be granted more
   * tokens.
   */
  private CompletableFuture<Void> closeLease(Row lease) {
    if (lease.cells().number(Lease.CLOSED) == 1) {
      return closeAllotments(lease);
    }
    Cells closed = lease.cells().with(Lease.CLOSED, 1);
    return table
        .write(Transaction.on(lease, closed))
        .thenCompose(
            written ->
                written
                    ? closeAllotments(new Row(lease.key(), lease.version() + 1, closed))
                    : done());
  }

  private CompletableFuture<Void> closeAllotments(Row lease) {
    String incarnation = lease.key().key();
    return table
        .scan(BudgetTables.ALLOTMENTS, incarnation + "/", "", SCAN_ROWS)
        .thenCompose(
            rows -> {
              List<Row> open = rows.stream().filter(row -> !AllotmentRow.of(row).closed()).toList();
              CompletableFuture<Void> all = done();
              for (Row row : open) {
                all = all.thenCompose(nothing -> closeAllotment(row));
              }
              return open.isEmpty()
                  ? table
                      .write(new Transaction(List.of(), List.of()).andDelete(lease))
                      .thenAccept(
                          deleted ->
                              Logger.info(
                                  "lease of {} deleted after all its allotments were reclaimed",
                                  incarnation))
                  : all;
            });
  }

  private CompletableFuture<Void> closeAllotment(Row row) {
    AllotmentId id = AllotmentId.parse(row.key().key());
    return table
        .read(List.of(BudgetTables.budget(id.budget()), row.key()))
        .thenCompose(
            rows -> {
              BudgetRow budget = BudgetRow.of(rows.get(0));
              AllotmentRow allotment = AllotmentRow.of(rows.get(1));
              Logger.info("reclaiming {} tokens of allotment {}", allotment.unbilledTokens(), id);
              return table.write(
                  Transaction.on(rows.get(0), budget.allot(-allotment.unbilledTokens()).toCells())
                      .and(rows.get(1), allotment.close().toCells()));
            })
        .thenAccept(written -> {});
  }
}
