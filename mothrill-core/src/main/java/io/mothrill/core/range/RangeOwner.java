package io.mothrill.core.range;

import io.mothrill.core.board.Section;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.PeerMessage.CopyRange;
import io.mothrill.core.peer.PeerMessage.FinishReply;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.request.UnrepeatableClaims.Outcome;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** Owns ranges of keys and decides about the keys in them. */
final class RangeOwner {

  private static final long TAKE_AGAIN_MS = 60_000;
  private static final int TAKEN_PER_ROUND = 64;
  private static final int FLUSHED_PER_WRITE = 50;
  private static final long ASK_TIMEOUT_MS = 500;

  private final TableService table;
  private final Lease lease;
  private final Section<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final RangeTaker taker;
  private final RangeBackup ownBackup;
  private volatile RankedView ranked = new RankedView(null, List.of());
  private final Set<String> lostNames = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> nextTakeMs = new ConcurrentHashMap<>();
  private final Map<String, OwnedRange> owned = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Optional<OwnedRange>>> taking =
      new ConcurrentHashMap<>();

  RangeOwner(
      TableService table,
      Lease lease,
      Section<Membership> members,
      PeerLinks links,
      Timers timers,
      RangeTaker taker,
      RangeBackup ownBackup) {
    this.table = table;
    this.lease = lease;
    this.members = members;
    this.links = links;
    this.timers = timers;
    this.taker = taker;
    this.ownBackup = ownBackup;
  }

  /** Gives a range that is owned here already, or tries to take it. */
  CompletableFuture<Optional<OwnedRange>> range(String range) {
    OwnedRange held = owned.get(range);
    if (held != null) {
      return CompletableFuture.completedFuture(Optional.of(held));
    }
    CompletableFuture<Optional<OwnedRange>> attempt = new CompletableFuture<>();
    CompletableFuture<Optional<OwnedRange>> running = taking.putIfAbsent(range, attempt);
    if (running != null) {
      return running;
    }
    var unused =
        taker
            .tryTake(range)
            .thenAccept(
                taken -> {
                  taken.ifPresent(found -> owned.put(range, found));
                  taking.remove(range);
                  attempt.complete(taken);
                });
    return attempt;
  }

  /** Gives a range only if it is owned here already. */
  Optional<OwnedRange> owned(String range) {
    return Optional.ofNullable(owned.get(range));
  }

  List<OwnedRange> all() {
    return List.copyOf(owned.values());
  }

  /** Decides whether a run that has ended counts. */
  CompletableFuture<FinishReply.Verdict> finish(OwnedRange range, FinishRequest finish) {
    if (finish.bill().isEmpty()) {
      range.runs().failed(finish);
      return CompletableFuture.completedFuture(FinishReply.Verdict.CONFIRMED);
    }
    FinishReply.Verdict known = range.runs().finish(finish);
    if (known != FinishReply.Verdict.HELD || !range.runs().isDeciding(finish)) {
      return CompletableFuture.completedFuture(known);
    }
    return acknowledged(range, new RangeContent(List.of(), List.of(finish)))
        .thenApply(
            yes -> {
              if (!yes) {
                return FinishReply.Verdict.HELD;
              }
              range.runs().decided(finish);
              return FinishReply.Verdict.CONFIRMED;
            });
  }

  /** Asks the backup to acknowledge; an owner that has none decides alone, under its lease. */
  private CompletableFuture<Boolean> acknowledged(OwnedRange range, RangeContent content) {
    RangeRow state = range.state();
    if (!lease.isInForce() || range.isPaused()) {
      return CompletableFuture.completedFuture(false);
    }
    if (state.backup().isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    Optional<InstanceRecord> backup = members.read().find(state.backup());
    if (backup.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    CopyRange copy = new CopyRange(range.name(), state.epoch(), state.backup(), content);
    return links
        .ask(backup.get(), copy, ASK_TIMEOUT_MS)
        .handle(
            (reply, error) -> {
              if (reply instanceof PeerMessage.Refused) {
                lost(range);
              }
              return reply instanceof PeerMessage.Done;
            });
  }

  /**
   * Gives a range up, because it was taken by another or may have been.
   *
   * <p>What was decided stays decided, whoever owns the range, so it is kept for the case that the
   * range is taken here again.
   */
  private void lost(OwnedRange range) {
    if (owned.remove(range.name(), range)) {
      ownBackup.keep(range.name(), range.content());
      nextTakeMs.remove(range.name());
      lostNames.add(range.name());
    }
  }

  /** Grants the claim of an unrepeatable request, or says that its key has one. */
  CompletableFuture<Outcome> grant(OwnedRange range, SoleClaim claim) {
    Optional<SoleClaim> known = range.claims().find(claim.key());
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(outcomeOf(known.get(), claim));
    }
    Transaction insert =
        Transaction.on(
                Row.absent(RangeRow.claim(claim)), RangeRow.claimCells(claim, timers.wallMs()))
            .requiring(range.row());
    return table
        .write(insert)
        .thenApply(written -> written ? inTable(range, claim) : refused(range))
        .exceptionallyCompose(error -> grantWithBackup(range, claim));
  }

  private static Outcome outcomeOf(SoleClaim held, SoleClaim claim) {
    return held.equals(claim) ? Outcome.GRANTED : Outcome.TAKEN;
  }

  private static Outcome inTable(OwnedRange range, SoleClaim claim) {
    return outcomeOf(range.claims().hold(claim, true), claim);
  }

  private Outcome refused(OwnedRange range) {
    lost(range);
    return Outcome.UNSAFE;
  }

  /** While the platform is away a claim counts when the backup has acknowledged it. */
  private CompletableFuture<Outcome> grantWithBackup(OwnedRange range, SoleClaim claim) {
    SoleClaim held = range.claims().hold(claim, false);
    if (!held.equals(claim)) {
      return CompletableFuture.completedFuture(Outcome.TAKEN);
    }
    return acknowledged(range, new RangeContent(List.of(claim), List.of()))
        .thenApply(yes -> yes ? Outcome.GRANTED : Outcome.UNSAFE);
  }

  /** Gives up a claim whose run surely did not send the request. */
  void release(OwnedRange range, SoleClaim claim) {
    if (range.claims().find(claim.key()).filter(claim::equals).isEmpty()) {
      return;
    }
    range.claims().drop(claim);
    var unused =
        table
            .read(List.of(RangeRow.claim(claim)))
            .thenCompose(rows -> delete(rows.get(0), range))
            .exceptionally(error -> false);
  }

  private CompletableFuture<Boolean> delete(Row row, OwnedRange range) {
    return row.exists()
        ? table.write(new Transaction(List.of(), List.of()).andDelete(row).requiring(range.row()))
        : CompletableFuture.completedFuture(false);
  }

  /**
   * Writes what was granted without the platform, names new backups for those that are gone, and
   * takes ranges ahead of need, because none can be taken while the platform is away.
   */
  void tend() {
    all().forEach(this::tend);
    Membership view = members.read();
    long nowMs = timers.nowMs();
    Stream.concat(lostNames.stream(), firstRanges(view).stream())
        .distinct()
        .filter(range -> !owned.containsKey(range))
        .filter(range -> nowMs >= nextTakeMs.getOrDefault(range, 0L))
        .limit(TAKEN_PER_ROUND)
        .forEach(
            range -> {
              nextTakeMs.put(range, nowMs + TAKE_AGAIN_MS);
              lostNames.remove(range);
              var unused = range(range);
            });
  }

  private void tend(OwnedRange range) {
    flush(range);
    range
        .runs()
        .deciding()
        .forEach(
            end -> {
              var unused = finish(range, end);
            });
    renewBackup(range);
  }

  /** Lists the ranges in whose rank order this is the first reachable instance. */
  private List<String> firstRanges(Membership view) {
    RankedView known = ranked;
    if (!view.equals(known.view())) {
      known =
          new RankedView(
              view, KeyRanges.all().stream().filter(range -> isFirst(range, view)).toList());
      ranked = known;
    }
    return known.first();
  }

  /** Ranking all ranges costs more the larger the fleet is, so it is done once a view. */
  private record RankedView(Membership view, List<String> first) {}

  private static boolean isFirst(String range, Membership view) {
    return KeyRanges.rank(range, view).stream()
        .filter(view::isReachable)
        .findFirst()
        .filter(view::isSelf)
        .isPresent();
  }

  private void flush(OwnedRange range) {
    List<SoleClaim> open = range.claims().notInTable().stream().limit(FLUSHED_PER_WRITE).toList();
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
                    open.forEach(claim -> range.claims().hold(claim, true));
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

  /** A range whose backup has left the fleet gets another one, or none when there is no other. */
  private void renewBackup(OwnedRange range) {
    Membership view = members.read();
    RangeRow state = range.state();
    Optional<InstanceRecord> backup = view.find(state.backup());
    String next =
        KeyRanges.backups(range.name(), view).stream()
            .findFirst()
            .map(InstanceRecord::incarnation)
            .orElse("");
    boolean present = backup.filter(view::isReachable).isPresent();
    boolean stays = present || (next.isEmpty() && backup.isPresent());
    if (stays || next.equals(state.backup()) || !range.pause()) {
      return;
    }
    renewBackup(range, state.next(state.owner(), next));
  }

  private void renewBackup(OwnedRange range, RangeRow next) {
    var unused =
        taker
            .prime(range.name(), next, range.content())
            .thenAccept(
                primed -> {
                  if (primed) {
                    changeRow(range, next);
                  } else {
                    range.resume();
                  }
                });
  }

  /**
   * Changes the row of an owned range.
   *
   * <p>Decisions go to the backup that the row names. While the change is under way there must be
   * none, because the old backup would take them and the new one would not know.
   */
  private void changeRow(OwnedRange range, RangeRow next) {
    lost(range);
    var unused =
        table
            .write(Transaction.on(range.row(), next.toCells()))
            .thenAccept(
                written -> {
                  if (written) {
                    Row before = range.row();
                    range.row(new Row(before.key(), before.version() + 1, next.toCells()));
                    range.resume();
                    owned.putIfAbsent(range.name(), range);
                  }
                })
            .exceptionally(
                error -> {
                  if (surelyUnchanged(error)) {
                    range.resume();
                    owned.putIfAbsent(range.name(), range);
                  }
                  return null;
                });
  }

  private static boolean surelyUnchanged(Throwable error) {
    return Failures.unwrap(error) instanceof PlatformException known
        && known.outcome() == PlatformException.Outcome.NOT_APPLIED;
  }

  /** Leaves all ranges to whoever needs them next; the backup keeps what was decided. */
  void leave() {
    all().forEach(this::leave);
  }

  private void leave(OwnedRange range) {
    RangeRow state = range.state();
    lost(range);
    var unused =
        table
            .write(Transaction.on(range.row(), state.next("", state.backup()).toCells()))
            .exceptionally(error -> false);
  }
}
