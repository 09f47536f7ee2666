package io.mothrill.core.claim;

import io.mothrill.core.board.Section;
import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.CopySole;
import io.mothrill.core.peer.PeerMessage.FenceRange;
import io.mothrill.core.peer.PeerMessage.FenceReply;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.request.UnrepeatableClaims.Outcome;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.tinylog.Logger;

/** Owns ranges of keys, and grants the claims in them. */
final class RangeOwner {

  private static final int SCAN_ROWS = 1_000;
  private static final int FLUSHED_PER_WRITE = 50;
  private static final long ASK_TIMEOUT_MS = 500;

  private final TableService table;
  private final Lease lease;
  private final Section<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final RangeBackup ownBackup;
  private final long windowMs;
  private final Map<Integer, OwnedRange> owned = new ConcurrentHashMap<>();
  private final Map<Integer, CompletableFuture<Optional<OwnedRange>>> acquiring =
      new ConcurrentHashMap<>();

  RangeOwner(
      TableService table,
      Lease lease,
      Section<Membership> members,
      PeerLinks links,
      Timers timers,
      RangeBackup ownBackup,
      long windowMs) {
    this.table = table;
    this.lease = lease;
    this.members = members;
    this.links = links;
    this.timers = timers;
    this.ownBackup = ownBackup;
    this.windowMs = windowMs;
  }

  private String self() {
    return members.read().self().incarnation();
  }

  /** Gives a range that is owned here already, or tries to take it. */
  CompletableFuture<Optional<OwnedRange>> range(int range) {
    OwnedRange held = owned.get(range);
    if (held != null) {
      return CompletableFuture.completedFuture(Optional.of(held));
    }
    CompletableFuture<Optional<OwnedRange>> attempt = new CompletableFuture<>();
    CompletableFuture<Optional<OwnedRange>> running = acquiring.putIfAbsent(range, attempt);
    if (running != null) {
      return running;
    }
    var unused =
        acquire(range)
            .exceptionally(error -> Optional.empty())
            .thenAccept(
                taken -> {
                  taken.ifPresent(found -> owned.put(range, found));
                  acquiring.remove(range);
                  attempt.complete(taken);
                });
    return attempt;
  }

  /** Gives a range only if it is owned here already. */
  Optional<OwnedRange> owned(int range) {
    return Optional.ofNullable(owned.get(range));
  }

  private CompletableFuture<Optional<OwnedRange>> acquire(int range) {
    if (!lease.isInForce()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return table
        .read(List.of(RangeRow.key(range)))
        .thenCompose(
            rows -> {
              Row row = rows.get(0);
              RangeRow state = RangeRow.of(row);
              if (state.owner().equals(self())) {
                return load(range, row, List.of());
              }
              return mayTake(range, row, state);
            });
  }

  /** Takes a range whose owner has left, is fenced by its backup, or has no lease any more. */
  private CompletableFuture<Optional<OwnedRange>> mayTake(int range, Row row, RangeRow state) {
    if (!row.exists() || state.owner().isEmpty()) {
      return take(range, row, List.of());
    }
    Membership view = members.read();
    boolean ownerAnswers = view.find(state.owner()).filter(view::isReachable).isPresent();
    if (ownerAnswers) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return fence(range, state)
        .thenCompose(
            copies ->
                copies.isPresent() ? take(range, row, copies.get()) : ifLeaseOver(range, row));
  }

  private CompletableFuture<Optional<List<SoleClaim>>> fence(int range, RangeRow state) {
    if (state.backup().equals(self())) {
      return CompletableFuture.completedFuture(Optional.of(ownBackup.fence(range, state.epoch())));
    }
    Optional<InstanceRecord> backup = members.read().find(state.backup());
    if (backup.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    FenceRange request = new FenceRange(range, state.epoch(), state.backup());
    return links
        .ask(backup.get(), request, ASK_TIMEOUT_MS)
        .handle(
            (reply, error) ->
                reply instanceof FenceReply fenced
                    ? Optional.of(fenced.claims())
                    : Optional.<List<SoleClaim>>empty());
  }

  /**
   * Looks whether the owner's lease was closed.
   *
   * <p>An owner that is out of reach together with its backup may go on granting. It does so only
   * under its lease, and the lease is closed only after it has run out.
   */
  private CompletableFuture<Optional<OwnedRange>> ifLeaseOver(int range, Row row) {
    return table
        .read(List.of(BudgetTables.lease(RangeRow.of(row).owner())))
        .thenCompose(
            leases -> {
              boolean over = !leases.get(0).exists() || leases.get(0).cells().number("closed") == 1;
              return over
                  ? take(range, row, List.of())
                  : CompletableFuture.completedFuture(Optional.empty());
            });
  }

  private CompletableFuture<Optional<OwnedRange>> take(int range, Row row, List<SoleClaim> copies) {
    RangeRow next = new RangeRow(self(), backupFor(range), RangeRow.of(row).epoch() + 1);
    return table
        .write(Transaction.on(row, next.toCells()))
        .thenCompose(
            written -> {
              if (!written) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              Logger.info("claims range={} epoch={} taken", range, next.epoch());
              return load(range, new Row(row.key(), row.version() + 1, next.toCells()), copies);
            });
  }

  private String backupFor(int range) {
    return KeyRanges.backups(range, members.read()).stream()
        .findFirst()
        .map(InstanceRecord::incarnation)
        .orElse("");
  }

  /** Reads all claims of the range after the row has changed, so that none can be added unseen. */
  private CompletableFuture<Optional<OwnedRange>> load(int range, Row row, List<SoleClaim> copies) {
    OwnedRange taken = new OwnedRange(row, timers);
    copies.forEach(claim -> taken.hold(claim, false));
    return scan(range, "", taken).thenApply(nothing -> Optional.of(taken));
  }

  private CompletableFuture<Void> scan(int range, String afterKey, OwnedRange into) {
    return table
        .scan(RangeRow.CLAIMS, RangeRow.prefix(range), afterKey, SCAN_ROWS)
        .thenCompose(
            rows -> {
              rows.forEach(row -> into.hold(RangeRow.readClaim(range, row), true));
              return rows.size() < SCAN_ROWS
                  ? CompletableFuture.completedFuture(null)
                  : scan(range, rows.get(rows.size() - 1).key().key(), into);
            });
  }

  /** Grants a claim in an owned range, or says that the key has one. */
  CompletableFuture<Outcome> grant(OwnedRange range, SoleClaim claim) {
    Optional<SoleClaim> known = range.find(claim.key());
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(outcomeOf(known.get(), claim));
    }
    Transaction insert =
        Transaction.on(
                Row.absent(RangeRow.claim(claim)), RangeRow.claimCells(claim, timers.wallMs()))
            .requiring(range.row());
    return table
        .write(insert)
        .thenApply(written -> written ? outcomeOf(range.hold(claim, true), claim) : lost(range))
        .exceptionallyCompose(error -> grantWithBackup(range, claim));
  }

  private static Outcome outcomeOf(SoleClaim held, SoleClaim claim) {
    return held.equals(claim) ? Outcome.GRANTED : Outcome.TAKEN;
  }

  /** The range's row, or the claim's, is not as it was known: the range must be taken anew. */
  private Outcome lost(OwnedRange range) {
    owned.values().remove(range);
    return Outcome.UNSAFE;
  }

  /** While the platform is away a claim counts when the backup has acknowledged it. */
  private CompletableFuture<Outcome> grantWithBackup(OwnedRange range, SoleClaim claim) {
    RangeRow state = range.state();
    Optional<InstanceRecord> backup = members.read().find(state.backup());
    if (backup.isEmpty() || !lease.isInForce()) {
      return CompletableFuture.completedFuture(Outcome.UNSAFE);
    }
    SoleClaim held = range.hold(claim, false);
    if (!held.equals(claim)) {
      return CompletableFuture.completedFuture(Outcome.TAKEN);
    }
    CopySole copy =
        new CopySole(
            KeyRanges.of(claim.key()), state.epoch(), state.owner(), state.backup(), claim);
    return links
        .ask(backup.get(), copy, ASK_TIMEOUT_MS)
        .handle((reply, error) -> reply instanceof PeerMessage.Done)
        .thenApply(acknowledged -> acknowledged ? Outcome.GRANTED : Outcome.UNSAFE);
  }

  /** Gives up a claim whose run surely did not send the request. */
  void release(OwnedRange range, SoleClaim claim) {
    if (range.find(claim.key()).filter(claim::equals).isEmpty()) {
      return;
    }
    range.drop(claim);
    var unused =
        table
            .read(List.of(RangeRow.claim(claim)))
            .thenCompose(rows -> delete(rows.get(0)))
            .exceptionally(error -> false);
  }

  private CompletableFuture<Boolean> delete(Row row) {
    return row.exists()
        ? table.write(new Transaction(List.of(), List.of()).andDelete(row))
        : CompletableFuture.completedFuture(false);
  }

  /** Writes what was granted without the platform, renews backups, and forgets what is old. */
  void tend() {
    long oldestMs = timers.nowMs() - windowMs;
    owned.forEach(
        (number, range) -> {
          range.forgetBefore(oldestMs);
          flush(range);
          renewBackup(number, range);
        });
  }

  private void flush(OwnedRange range) {
    List<SoleClaim> open = range.notInTable().stream().limit(FLUSHED_PER_WRITE).toList();
    if (open.isEmpty()) {
      return;
    }
    var unused =
        table
            .read(open.stream().map(RangeRow::claim).toList())
            .thenCompose(rows -> insertMissing(range, open, rows))
            .thenAccept(
                written -> {
                  if (written) {
                    range.noteInTable(open);
                  } else {
                    lost(range);
                  }
                })
            .exceptionally(error -> null);
  }

  private CompletableFuture<Boolean> insertMissing(
      OwnedRange range, List<SoleClaim> claims, List<Row> rows) {
    Transaction transaction = new Transaction(List.of(), List.of()).requiring(range.row());
    for (int index = 0; index < claims.size(); index++) {
      if (!rows.get(index).exists()) {
        transaction =
            transaction.and(
                rows.get(index), RangeRow.claimCells(claims.get(index), timers.wallMs()));
      }
    }
    return table.write(transaction);
  }

  /** Names another backup when the present one is gone, so that an outage finds one in place. */
  private void renewBackup(int number, OwnedRange range) {
    Membership view = members.read();
    RangeRow state = range.state();
    boolean present = view.find(state.backup()).filter(view::isReachable).isPresent();
    String next = backupFor(number);
    if (present || next.isEmpty()) {
      return;
    }
    changeRow(range, new RangeRow(state.owner(), next, state.epoch() + 1));
  }

  private void changeRow(OwnedRange range, RangeRow next) {
    Row before = range.row();
    var unused =
        table
            .write(Transaction.on(before, next.toCells()))
            .whenComplete(
                (written, error) -> {
                  if (error == null && written) {
                    range.row(new Row(before.key(), before.version() + 1, next.toCells()));
                  } else if (isDoubtful(error)) {
                    lost(range);
                  }
                });
  }

  /** After a lost race or a lost answer the row has to be read again. */
  private static boolean isDoubtful(Throwable error) {
    return error == null
        || !(Failures.unwrap(error) instanceof PlatformException known)
        || known.outcome() == PlatformException.Outcome.UNKNOWN;
  }

  /** Leaves all ranges to whoever needs them next. */
  void leave() {
    new ArrayList<>(owned.values())
        .forEach(
            range -> {
              if (range.notInTable().isEmpty()) {
                RangeRow state = range.state();
                changeRow(range, new RangeRow("", "", state.epoch() + 1));
                owned.values().remove(range);
              }
            });
  }
}
