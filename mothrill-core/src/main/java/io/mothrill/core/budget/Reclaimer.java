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
 * Takes back what crashed instances were granted and had not billed.
 *
 * <p>Failure: an instance is gone with tokens in its allotments. Symptom: a budget has room that
 * nobody can use. The instance may also only be paused or cut off, and the tokens it lent live on
 * elsewhere; so nothing proves that they are not being spent, except that the lease they are spent
 * under has run out. Every holder stops before that by its own clock, counted from when it sent its
 * last renewal. Bills may still be on their way, so a grace follows. A bill that comes later finds
 * the allotment closed and is set aside for the operators.
 */
public final class Reclaimer {

  private static final long CHECK_MS = 30_000;
  private static final int SCAN_ROWS = 500;

  private final TableService table;
  private final PublishedValue<Membership> members;
  private final Timers timers;
  private final long graceMs;
  private final AtomicBoolean busy = new AtomicBoolean();

  /**
   * Creates the reclaimer and starts its checks.
   *
   * @param table the platform's table
   * @param members the fleet, of which one instance does the work
   * @param timers the time
   * @param graceMs how long after a lease's end its allotments still take bills
   */
  public Reclaimer(
      TableService table, PublishedValue<Membership> members, Timers timers, long graceMs) {
    this.table = table;
    this.members = members;
    this.timers = timers;
    this.graceMs = graceMs;
    timers.every(CHECK_MS, this::check);
  }

  /** One instance is enough; should two think so, their writes collide and nothing is lost. */
  private boolean isElected() {
    Membership view = members.read();
    List<InstanceRecord> reachable =
        view.activeInstances().stream().filter(view::isReachable).toList();
    return !reachable.isEmpty() && view.isSelf(RendezvousHash.rank("reclaimer", reachable).get(0));
  }

  private void check() {
    if (!isElected() || !busy.compareAndSet(false, true)) {
      return;
    }
    var unused =
        checkFrom("")
            .whenComplete(
                (nothing, error) -> {
                  busy.set(false);
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

  /** Closes the lease first, so that a holder which comes back can be granted nothing more. */
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
                      .thenAccept(deleted -> Logger.info("lease of {} reclaimed", incarnation))
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
              Logger.info("reclaimed {} tokens of {}", allotment.unbilledTokens(), id);
              return table.write(
                  Transaction.on(rows.get(0), budget.allot(-allotment.unbilledTokens()).toCells())
                      .and(rows.get(1), allotment.close().toCells()));
            })
        .thenAccept(written -> {});
  }
}
