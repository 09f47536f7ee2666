package io.mothrill.core.budget;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * Writes bills to the platform's ledger in batches, each bill once.
 *
 * <p>A bill can only go to the ledger of the allotment whose tokens it used, and every batch is
 * written together with that allotment's row. Failure: an answer is lost, or a second instance
 * posts for one that it believes dead. Symptom: a request is billed twice. Whoever finds more
 * batches in the row than it knows of reads them first and drops the bills that are already there,
 * so it does not matter who wrote them, or how often a batch was tried.
 */
public final class LedgerPoster {

  private static final int ALLOTMENTS_PER_BATCH = 40;
  private static final int ENTRIES_PER_BATCH = 500;
  private static final long RECOVERED_RETENTION_MS = 14_400_000;
  private static final int SCAN_ROWS = 200;
  private static final String ENTRIES = "entries";
  private static final String RECOVERED = "recovered";
  private static final String TOKENS = "tokens";

  private final TableService table;
  private final String poster;
  private final Timers timers;
  private final Map<AllotmentId, Map<String, Pending>> pending = new LinkedHashMap<>();
  private final Map<AllotmentId, Long> knownSeq = new HashMap<>();
  private final Map<String, Long> recoveredAtMs = new HashMap<>();
  private final Set<AllotmentId> rescan = new HashSet<>();
  private final AtomicBoolean busy = new AtomicBoolean();
  private final Counter postedTokens;
  private final Counter lateTokens;

  /**
   * Creates the poster and starts to post.
   *
   * @param table the platform's table
   * @param poster the incarnation that posts, for audits
   * @param timers the time
   * @param metrics counts what was posted
   * @param postMs milliseconds between two batches
   */
  public LedgerPoster(
      TableService table, String poster, Timers timers, MetricRegistry metrics, long postMs) {
    this.table = table;
    this.timers = timers;
    this.poster = poster;
    this.postedTokens = metrics.counter("ledger.postedTokens");
    this.lateTokens = metrics.counter("ledger.lateTokens");
    timers.every(postMs, this::flush);
  }

  private record Pending(LedgerEntry entry, boolean recovered, CompletableFuture<Void> posted) {}

  /** Bills for one allotment that are being written. */
  private record Batch(Row row, List<Pending> bills) {

    long tokens() {
      return bills.stream().mapToLong(bill -> bill.entry().tokens()).sum();
    }

    boolean hasRecovered() {
      return bills.stream().anyMatch(Pending::recovered);
    }

    List<String> requestIds() {
      return bills.stream().map(bill -> bill.entry().requestId()).toList();
    }

    AllotmentRow nextRow() {
      return AllotmentRow.of(row).bill(tokens());
    }
  }

  /**
   * Takes a bill.
   *
   * @param allotment the allotment that it draws on
   * @param entry the bill
   * @return completes when the bill is in the ledger
   */
  public CompletableFuture<Void> add(AllotmentId allotment, LedgerEntry entry) {
    return add(allotment, entry, false);
  }

  private CompletableFuture<Void> add(AllotmentId allotment, LedgerEntry entry, boolean recovered) {
    synchronized (pending) {
      if (recoveredAtMs.containsKey(billPartKey(allotment, entry.requestId()))) {
        return CompletableFuture.completedFuture(null);
      }
      return pending
          .computeIfAbsent(allotment, id -> new LinkedHashMap<>())
          .computeIfAbsent(
              entry.requestId(), id -> new Pending(entry, recovered, new CompletableFuture<>()))
          .posted();
    }
  }

  private static String billPartKey(AllotmentId allotment, String requestId) {
    return requestId + "@" + allotment;
  }

  /**
   * Takes a bill that another instance may have posted before.
   *
   * <p>Failure: a home posts for a runner that it believes dead, but that had posted already.
   * Symptom: a request is billed twice. What this poster knows of the ledger is forgotten, so that
   * every batch of the allotment is read again in the next round, before the bill is written. It is
   * forgotten only between two rounds: a round under way would count on from a wrong number.
   *
   * <p>The runner may come back later and hand in the bill for the first time. Recovered bills are
   * therefore marked in the ledger, and whoever reads or writes such a mark remembers it.
   *
   * @param allotment the allotment that it draws on
   * @param entry the bill
   * @return completes when the bill is in the ledger
   */
  public CompletableFuture<Void> recover(AllotmentId allotment, LedgerEntry entry) {
    synchronized (pending) {
      rescan.add(allotment);
      return add(allotment, entry, true);
    }
  }

  /**
   * Counts the bills that are not in the ledger yet.
   *
   * @return bills
   */
  public int pendingCount() {
    synchronized (pending) {
      return pending.values().stream().mapToInt(Map::size).sum();
    }
  }

  /** Writes the next batches, unless some are still under way. */
  public void flush() {
    if (!busy.compareAndSet(false, true)) {
      return;
    }
    Map<AllotmentId, List<Pending>> round = nextRound();
    List<AllotmentId> allotments = List.copyOf(round.keySet());
    if (allotments.isEmpty()) {
      busy.set(false);
      return;
    }
    var unused =
        table
            .read(allotments.stream().map(id -> BudgetTables.allotment(id.toString())).toList())
            .thenCompose(rows -> dropPosted(allotments, rows))
            .thenCompose(rows -> write(round, rows))
            .whenComplete(
                (nothing, error) -> {
                  busy.set(false);
                  if (error != null) {
                    Logger.debug("ledger batch not written: {}", error.getMessage());
                  }
                });
  }

  /** Only bills that were there before the ledger is read may be written after it was read. */
  private Map<AllotmentId, List<Pending>> nextRound() {
    Map<AllotmentId, List<Pending>> round = new LinkedHashMap<>();
    synchronized (pending) {
      rescan.forEach(knownSeq::remove);
      rescan.clear();
      pending.entrySet().stream()
          .limit(ALLOTMENTS_PER_BATCH)
          .forEach(
              entry ->
                  round.put(
                      entry.getKey(),
                      entry.getValue().values().stream().limit(ENTRIES_PER_BATCH).toList()));
    }
    return round;
  }

  /** Reads batches that were not known of, and drops the bills that stand there. */
  private CompletableFuture<List<Row>> dropPosted(List<AllotmentId> allotments, List<Row> rows) {
    CompletableFuture<Void> read = CompletableFuture.completedFuture(null);
    for (int index = 0; index < rows.size(); index++) {
      AllotmentId allotment = allotments.get(index);
      long seq = AllotmentRow.of(rows.get(index)).ledgerSeq();
      read = read.thenCompose(nothing -> catchUp(allotment, seq));
    }
    return read.thenApply(nothing -> rows);
  }

  private CompletableFuture<Void> catchUp(AllotmentId allotment, long seq) {
    long known = knownSeqOf(allotment);
    if (known >= seq) {
      return CompletableFuture.completedFuture(null);
    }
    String prefix = allotment + "/";
    String afterKey = BudgetTables.ledgerKey(allotment.toString(), known);
    return table
        .scan(BudgetTables.LEDGER, prefix, afterKey, SCAN_ROWS)
        .thenCompose(
            found -> {
              found.forEach(row -> applyBatch(allotment, row));
              if (found.isEmpty()) {
                throw new IllegalStateException("ledger of " + allotment + " has a gap");
              }
              return catchUp(allotment, seq);
            });
  }

  private long knownSeqOf(AllotmentId allotment) {
    synchronized (pending) {
      return knownSeq.getOrDefault(allotment, 0L);
    }
  }

  private void applyBatch(AllotmentId allotment, Row ledgerRow) {
    List<LedgerEntry> entries = LedgerEntry.parse(ledgerRow.cells().text(ENTRIES));
    List<String> requestIds = entries.stream().map(LedgerEntry::requestId).toList();
    if (ledgerRow.cells().number(RECOVERED) == 1) {
      rememberRecovered(allotment, requestIds);
    }
    complete(allotment, requestIds);
    synchronized (pending) {
      knownSeq.merge(allotment, 1L, Long::sum);
    }
  }

  private void rememberRecovered(AllotmentId allotment, List<String> requestIds) {
    long nowMs = timers.nowMs();
    synchronized (pending) {
      recoveredAtMs.values().removeIf(atMs -> nowMs - atMs > RECOVERED_RETENTION_MS);
      requestIds.forEach(id -> recoveredAtMs.put(billPartKey(allotment, id), nowMs));
    }
  }

  private void complete(AllotmentId allotment, List<String> requestIds) {
    List<Pending> done;
    synchronized (pending) {
      Map<String, Pending> bills = pending.getOrDefault(allotment, new HashMap<>());
      done = requestIds.stream().filter(bills::containsKey).map(bills::remove).toList();
      if (bills.isEmpty()) {
        pending.remove(allotment);
      }
    }
    done.forEach(bill -> bill.posted().complete(null));
  }

  private CompletableFuture<Void> write(Map<AllotmentId, List<Pending>> round, List<Row> rows) {
    List<AllotmentId> allotments = List.copyOf(round.keySet());
    Map<AllotmentId, Batch> batches = new LinkedHashMap<>();
    Transaction transaction = new Transaction(List.of(), List.of());
    for (int index = 0; index < rows.size(); index++) {
      AllotmentId allotment = allotments.get(index);
      Batch batch = new Batch(rows.get(index), stillPending(allotment, round.get(allotment)));
      if (batch.bills().isEmpty()) {
        continue;
      }
      transaction =
          AllotmentRow.of(batch.row()).closed()
              ? addLateBills(transaction, allotment, batch)
              : addBatch(transaction, allotment, batch);
      batches.put(allotment, batch);
    }
    if (batches.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return table
        .write(transaction)
        .thenAccept(
            written -> {
              if (written) {
                batches.forEach(this::onWritten);
              }
            });
  }

  private List<Pending> stillPending(AllotmentId allotment, List<Pending> bills) {
    synchronized (pending) {
      Map<String, Pending> open = pending.getOrDefault(allotment, Map.of());
      return bills.stream().filter(bill -> open.containsKey(bill.entry().requestId())).toList();
    }
  }

  private Transaction addBatch(Transaction transaction, AllotmentId allotment, Batch batch) {
    AllotmentRow next = batch.nextRow();
    Cells ledger =
        Cells.empty()
            .with(TOKENS, batch.tokens())
            .with("poster", poster)
            .with(RECOVERED, batch.hasRecovered() ? 1 : 0)
            .with(ENTRIES, LedgerEntry.format(batch.bills().stream().map(Pending::entry).toList()));
    return transaction
        .and(batch.row(), next.toCells())
        .and(Row.absent(BudgetTables.ledger(allotment.toString(), next.ledgerSeq())), ledger);
  }

  /**
   * Keeps bills that came after their allotment was closed where operators find them.
   *
   * <p>Their tokens may have been granted to others, so billing them could overspend the budget.
   */
  private static Transaction addLateBills(
      Transaction transaction, AllotmentId allotment, Batch batch) {
    Transaction extended = transaction.requiring(batch.row());
    for (Pending bill : batch.bills()) {
      String text = LedgerEntry.format(List.of(bill.entry()));
      String key = allotment + "/" + bill.entry().requestId();
      extended =
          extended.and(
              Row.absent(new RowKey(BudgetTables.LATE_BILLS, key)),
              Cells.empty().with(ENTRIES, text));
    }
    return extended;
  }

  private void onWritten(AllotmentId allotment, Batch batch) {
    boolean late = AllotmentRow.of(batch.row()).closed();
    if (late) {
      lateTokens.inc(batch.tokens());
      Logger.error("{} bills came after {} was closed", batch.bills().size(), allotment);
    } else {
      postedTokens.inc(batch.tokens());
      synchronized (pending) {
        knownSeq.merge(allotment, 1L, Long::sum);
      }
    }
    if (batch.hasRecovered()) {
      rememberRecovered(allotment, batch.requestIds());
    }
    complete(allotment, batch.requestIds());
  }
}
