package io.mothrill.core.range;

import io.mothrill.core.board.PublishedValue;
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

  private static final long REACQUIRE_DELAY_MS = 60_000;
  private static final int MAX_ACQUIRED_PER_ROUND = 64;
  private static final int MAX_CLAIMS_PER_WRITE = 50;
  private static final long ASK_TIMEOUT_MS = 500;

  private final TableService table;
  private final Lease lease;
  private final PublishedValue<Membership> members;
  private final PeerLinks links;
  private final Timers timers;
  private final RangeAcquirer acquirer;
  private final RangeBackup ownBackup;
  private volatile RankedView ranked = new RankedView(null, List.of());
  private final Set<String> lostRanges = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> nextAcquireMs = new ConcurrentHashMap<>();
  private final Map<String, OwnedRange> ownedRanges = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Optional<OwnedRange>>> acquiring =
      new ConcurrentHashMap<>();

  RangeOwner(
      TableService table,
      Lease lease,
      PublishedValue<Membership> members,
      PeerLinks links,
      Timers timers,
      RangeAcquirer acquirer,
      RangeBackup ownBackup) {
    this.table = table;
    this.lease = lease;
    this.members = members;
    this.links = links;
    this.timers = timers;
    this.acquirer = acquirer;
    this.ownBackup = ownBackup;
  }

  /** Returns a range that is owned already, or tries to acquire it. */
  CompletableFuture<Optional<OwnedRange>> acquire(String range) {
    OwnedRange ownedRange = ownedRanges.get(range);
    if (ownedRange != null) {
      return CompletableFuture.completedFuture(Optional.of(ownedRange));
    }
    CompletableFuture<Optional<OwnedRange>> attempt = new CompletableFuture<>();
    CompletableFuture<Optional<OwnedRange>> inProgress = acquiring.putIfAbsent(range, attempt);
    if (inProgress != null) {
      return inProgress;
    }
    var unused =
        acquirer
            .tryAcquire(range)
            .thenAccept(
                acquired -> {
                  acquired.ifPresent(found -> ownedRanges.put(range, found));
                  acquiring.remove(range);
                  attempt.complete(acquired);
                });
    return attempt;
  }

  /** Returns a range only if it is owned already. */
  Optional<OwnedRange> find(String range) {
    return Optional.ofNullable(ownedRanges.get(range));
  }

  List<OwnedRange> all() {
    return List.copyOf(ownedRanges.values());
  }

  /** Decides whether a run that has ended counts. */
  CompletableFuture<FinishReply.Verdict> finish(OwnedRange range, FinishRequest finish) {
    if (finish.bill().isEmpty()) {
      range.runs().recordFailure(finish);
      return CompletableFuture.completedFuture(FinishReply.Verdict.CONFIRMED);
    }
    FinishReply.Verdict known = range.runs().finish(finish);
    if (known != FinishReply.Verdict.HELD || !range.runs().isPending(finish)) {
      return CompletableFuture.completedFuture(known);
    }
    return replicate(range, new RangeContent(List.of(), List.of(finish)))
        .thenApply(
            acknowledged -> {
              if (!acknowledged) {
                return FinishReply.Verdict.HELD;
              }
              range.runs().recordDecision(finish);
              return FinishReply.Verdict.CONFIRMED;
            });
  }

  /**
   * Requests an acknowledgement from the backup. An owner without a backup decides alone, under its
   * lease.
   */
  private CompletableFuture<Boolean> replicate(OwnedRange range, RangeContent content) {
    RangeRow state = range.state();
    if (!lease.isValid() || range.isPaused()) {
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
        .request(backup.get(), copy, ASK_TIMEOUT_MS)
        .handle(
            (reply, error) -> {
              if (reply instanceof PeerMessage.Refused) {
                relinquish(range);
              }
              return reply instanceof PeerMessage.Done;
            });
  }

  /**
   * Relinquishes a range, because another instance has acquired it or may have done so.
   *
   * <p>Decisions remain valid whichever instance owns the range, so they are stored in case this
   * instance acquires the range again.
   */
  private void relinquish(OwnedRange range) {
    if (ownedRanges.remove(range.name(), range)) {
      ownBackup.store(range.name(), range.content());
      nextAcquireMs.remove(range.name());
      lostRanges.add(range.name());
    }
  }

  /** Grants the claim of an unrepeatable request, or returns that its key already has one. */
  CompletableFuture<Outcome> grant(OwnedRange range, SoleClaim claim) {
    Optional<SoleClaim> existing = range.claims().find(claim.key());
    if (existing.isPresent()) {
      return CompletableFuture.completedFuture(outcomeOf(existing.get(), claim));
    }
    Transaction insert =
        Transaction.on(
                Row.absent(RangeRow.claim(claim)), RangeRow.claimCells(claim, timers.wallMs()))
            .requiring(range.row());
    return table
        .write(insert)
        .thenApply(written -> written ? recordStored(range, claim) : relinquishAsUnsafe(range))
        .exceptionallyCompose(error -> grantWithBackup(range, claim));
  }

  private static Outcome outcomeOf(SoleClaim existing, SoleClaim claim) {
    return existing.equals(claim) ? Outcome.GRANTED : Outcome.TAKEN;
  }

  private static Outcome recordStored(OwnedRange range, SoleClaim claim) {
    return outcomeOf(range.claims().putIfAbsent(claim, true), claim);
  }

  private Outcome relinquishAsUnsafe(OwnedRange range) {
    relinquish(range);
    return Outcome.UNSAFE;
  }

  /**
   * Grants a claim while the platform is unreachable. It counts once the backup has acknowledged
   * it.
   */
  private CompletableFuture<Outcome> grantWithBackup(OwnedRange range, SoleClaim claim) {
    SoleClaim existing = range.claims().putIfAbsent(claim, false);
    if (!existing.equals(claim)) {
      return CompletableFuture.completedFuture(Outcome.TAKEN);
    }
    return replicate(range, new RangeContent(List.of(claim), List.of()))
        .thenApply(acknowledged -> acknowledged ? Outcome.GRANTED : Outcome.UNSAFE);
  }

  /** Releases a claim whose run certainly did not send the request. */
  void release(OwnedRange range, SoleClaim claim) {
    if (range.claims().find(claim.key()).filter(claim::equals).isEmpty()) {
      return;
    }
    range.claims().remove(claim);
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
   * Writes claims that were granted while the platform was unreachable, replaces backups that have
   * left, and acquires ranges ahead of need, because none can be acquired while the platform is
   * unreachable.
   */
  void maintain() {
    all().forEach(this::maintain);
    Membership view = members.read();
    long nowMs = timers.nowMs();
    Stream.concat(lostRanges.stream(), preferredRanges(view).stream())
        .distinct()
        .filter(range -> !ownedRanges.containsKey(range))
        .filter(range -> nowMs >= nextAcquireMs.getOrDefault(range, 0L))
        .limit(MAX_ACQUIRED_PER_ROUND)
        .forEach(
            range -> {
              nextAcquireMs.put(range, nowMs + REACQUIRE_DELAY_MS);
              lostRanges.remove(range);
              var unused = acquire(range);
            });
  }

  private void maintain(OwnedRange range) {
    flush(range);
    range
        .runs()
        .pendingDecisions()
        .forEach(
            end -> {
              var unused = finish(range, end);
            });
    replaceBackup(range);
  }

  /** Returns the ranges for which this instance is the first reachable one in rank order. */
  private List<String> preferredRanges(Membership view) {
    RankedView known = ranked;
    if (!view.equals(known.view())) {
      known =
          new RankedView(
              view,
              KeyRanges.all().stream().filter(range -> isPreferredOwner(range, view)).toList());
      ranked = known;
    }
    return known.preferredRanges();
  }

  /**
   * Caches the ranking per membership view, because the cost of ranking all ranges grows with the
   * fleet.
   */
  private record RankedView(Membership view, List<String> preferredRanges) {}

  private static boolean isPreferredOwner(String range, Membership view) {
    return KeyRanges.rank(range, view).stream()
        .filter(view::isReachable)
        .findFirst()
        .filter(view::isSelf)
        .isPresent();
  }

  private void flush(OwnedRange range) {
    List<SoleClaim> unwritten =
        range.claims().notInTable().stream().limit(MAX_CLAIMS_PER_WRITE).toList();
    if (unwritten.isEmpty()) {
      return;
    }
    var unused =
        table
            .read(unwritten.stream().map(RangeRow::claim).toList())
            .thenCompose(rows -> insertMissing(range, unwritten, rows))
            .thenAccept(
                written -> {
                  if (written) {
                    unwritten.forEach(claim -> range.claims().putIfAbsent(claim, true));
                  } else {
                    relinquish(range);
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

  /** Replaces a backup that has left the fleet, with no backup when there is no other instance. */
  private void replaceBackup(OwnedRange range) {
    Membership view = members.read();
    RangeRow state = range.state();
    Optional<InstanceRecord> backup = view.find(state.backup());
    String next =
        KeyRanges.backups(range.name(), view).stream()
            .findFirst()
            .map(InstanceRecord::incarnation)
            .orElse("");
    boolean present = backup.filter(view::isReachable).isPresent();
    boolean keepsBackup = present || (next.isEmpty() && backup.isPresent());
    if (keepsBackup || next.equals(state.backup()) || !range.pause()) {
      return;
    }
    replaceBackup(range, state.next(state.owner(), next));
  }

  private void replaceBackup(OwnedRange range, RangeRow next) {
    var unused =
        acquirer
            .seedBackup(range.name(), next, range.content())
            .thenAccept(
                seeded -> {
                  if (seeded) {
                    changeRow(range, next);
                  } else {
                    range.resume();
                  }
                });
  }

  /**
   * Changes the row of an owned range.
   *
   * <p>Decisions are sent to the backup that the row names. None may be made while the change is in
   * flight, because the old backup would acknowledge them and the new one would not know them.
   */
  private void changeRow(OwnedRange range, RangeRow next) {
    relinquish(range);
    var unused =
        table
            .write(Transaction.on(range.row(), next.toCells()))
            .thenAccept(
                written -> {
                  if (written) {
                    Row previous = range.row();
                    range.row(new Row(previous.key(), previous.version() + 1, next.toCells()));
                    range.resume();
                    ownedRanges.putIfAbsent(range.name(), range);
                  }
                })
            .exceptionally(
                error -> {
                  if (isKnownUnchanged(error)) {
                    range.resume();
                    ownedRanges.putIfAbsent(range.name(), range);
                  }
                  return null;
                });
  }

  private static boolean isKnownUnchanged(Throwable error) {
    return Failures.unwrap(error) instanceof PlatformException known
        && known.outcome() == PlatformException.Outcome.NOT_APPLIED;
  }

  /**
   * Releases all ranges, so that other instances can acquire them. The backups retain the
   * decisions.
   */
  void releaseAll() {
    all().forEach(this::releaseAll);
  }

  private void releaseAll(OwnedRange range) {
    RangeRow state = range.state();
    relinquish(range);
    var unused =
        table
            .write(Transaction.on(range.row(), state.next("", state.backup()).toCells()))
            .exceptionally(error -> false);
  }
}
