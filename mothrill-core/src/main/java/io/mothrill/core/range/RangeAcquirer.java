package io.mothrill.core.range;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.CopyRange;
import io.mothrill.core.peer.PeerMessage.FenceRange;
import io.mothrill.core.peer.PeerMessage.FenceReply;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * Acquires ranges: fences the previous owner, changes the row and reads the decisions made so far.
 */
final class RangeAcquirer {

  private static final int SCAN_ROWS = 1_000;
  private static final long ASK_TIMEOUT_MS = 500;

  private final TableService table;
  private final Lease lease;
  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final RangeBackup ownBackup;

  RangeAcquirer(
      TableService table,
      Lease lease,
      PublishedValue<Membership> members,
      PeerLinks links,
      Timers timers,
      RangeBackup ownBackup) {
    this.table = table;
    this.lease = lease;
    this.members = members;
    this.links = links;
    this.timers = timers;
    this.ownBackup = ownBackup;
  }

  private String self() {
    return members.read().self().incarnation();
  }

  /** Acquires a range if it is free. Only an instance with a valid lease may own a range. */
  CompletableFuture<Optional<OwnedRange>> tryAcquire(String range) {
    if (!lease.isValid()) {
      return none();
    }
    return table
        .read(List.of(RangeRow.key(range)))
        .thenCompose(rows -> acquireIfFree(range, rows.get(0)))
        .exceptionally(error -> Optional.empty());
  }

  private static CompletableFuture<Optional<OwnedRange>> none() {
    return CompletableFuture.completedFuture(Optional.empty());
  }

  private CompletableFuture<Optional<OwnedRange>> acquireIfFree(String range, Row row) {
    RangeRow state = RangeRow.of(row);
    Membership view = members.read();
    boolean ownerAnswers =
        !state.owner().equals(self())
            && view.find(state.owner()).filter(view::isReachable).isPresent();
    if (ownerAnswers) {
      return none();
    }
    if (state.backup().isEmpty()) {
      return acquireWithoutBackup(range, row, state);
    }
    return fence(range, state)
        .thenCompose(
            content ->
                content.isPresent()
                    ? acquire(range, row, content.get())
                    : acquireIfLeaseExpired(range, row, state));
  }

  /**
   * Acquires a range that has no backup. An owner without a backup decides alone, so the range
   * cannot be acquired before the lease of that owner has expired.
   */
  private CompletableFuture<Optional<OwnedRange>> acquireWithoutBackup(
      String range, Row row, RangeRow state) {
    RangeContent emptyContent = new RangeContent(List.of(), List.of());
    boolean free = state.owner().isEmpty() || state.owner().equals(self());
    return free ? acquire(range, row, emptyContent) : acquireIfLeaseExpired(range, row, state);
  }

  private CompletableFuture<Optional<RangeContent>> fence(String range, RangeRow state) {
    if (state.backup().equals(self())) {
      return CompletableFuture.completedFuture(Optional.of(ownBackup.fence(range, state.epoch())));
    }
    Optional<InstanceRecord> backup = members.read().find(state.backup());
    if (backup.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    FenceRange request = new FenceRange(range, state.epoch(), state.backup());
    return links
        .request(backup.get(), request, ASK_TIMEOUT_MS)
        .handle(
            (reply, error) ->
                reply instanceof FenceReply fenced
                    ? Optional.of(fenced.content())
                    : Optional.empty());
  }

  /**
   * Acquires a range only when the lease of the owner has expired, because neither the owner nor
   * the backup can be reached.
   *
   * <p>Both may be in the same partition and continue to decide. The owner does so only under its
   * lease, and a lease is closed only after it has expired.
   */
  private CompletableFuture<Optional<OwnedRange>> acquireIfLeaseExpired(
      String range, Row row, RangeRow state) {
    if (state.owner().isEmpty()) {
      return acquire(range, row, new RangeContent(List.of(), List.of()));
    }
    return table
        .read(List.of(BudgetTables.lease(state.owner())))
        .thenCompose(
            leases -> {
              Row found = leases.get(0);
              boolean expired = !found.exists() || Lease.isClosedRow(found);
              return expired ? acquire(range, row, new RangeContent(List.of(), List.of())) : none();
            });
  }

  private CompletableFuture<Optional<OwnedRange>> acquire(
      String range, Row row, RangeContent received) {
    RangeContent content = received.and(ownBackup.contentOf(range));
    List<InstanceRecord> backups = KeyRanges.backups(range, members.read());
    String backup = backups.isEmpty() ? "" : backups.get(0).incarnation();
    RangeRow next = RangeRow.of(row).next(self(), backup);
    return seedBackup(range, next, content)
        .thenCompose(
            seeded -> seeded ? table.write(Transaction.on(row, next.toCells())) : falseFuture())
        .thenCompose(
            written -> {
              if (!written) {
                return none();
              }
              Logger.info(
                  "range acquired: range={} epoch={} backup={}", range, next.epoch(), backup);
              Row changed = new Row(row.key(), row.version() + 1, next.toCells());
              return load(new OwnedRange(range, changed, members, timers), content);
            });
  }

  private static CompletableFuture<Boolean> falseFuture() {
    return CompletableFuture.completedFuture(false);
  }

  /** Sends all decisions to a new backup before the row names it. */
  CompletableFuture<Boolean> seedBackup(String range, RangeRow next, RangeContent content) {
    Optional<InstanceRecord> backup = members.read().find(next.backup());
    if (backup.isEmpty()) {
      return CompletableFuture.completedFuture(next.backup().isEmpty());
    }
    CopyRange copy = new CopyRange(range, next.epoch(), next.backup(), content.trimmed());
    return links
        .request(backup.get(), copy, ASK_TIMEOUT_MS)
        .handle((reply, error) -> reply instanceof PeerMessage.Done);
  }

  /** Reads the claims after the row has changed, so that no claim can be added unnoticed. */
  private CompletableFuture<Optional<OwnedRange>> load(OwnedRange acquired, RangeContent content) {
    acquired.restore(content);
    return scan(acquired, "").thenApply(nothing -> Optional.of(acquired));
  }

  private CompletableFuture<Void> scan(OwnedRange target, String afterKey) {
    return table
        .scan(RangeRow.CLAIMS, RangeRow.prefix(target.name()), afterKey, SCAN_ROWS)
        .thenCompose(
            rows -> {
              rows.forEach(
                  row -> target.claims().putIfAbsent(RangeRow.readClaim(target.name(), row), true));
              return rows.size() < SCAN_ROWS
                  ? CompletableFuture.completedFuture(null)
                  : scan(target, rows.get(rows.size() - 1).key().key());
            });
  }
}
