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
 * Writes bills to the platform's ledger in batches, each bill exactly once.
 *
 * <p>A bill is written only to the ledger of the allotment whose tokens it used, and each batch is
 * written in one transaction with the row of that allotment. When a response is lost, or a second
 * instance posts for one that it considers crashed, a request could be billed twice. A poster that
 * finds more batches counted in the row than it knows therefore reads them first and drops the
 * bills that they already contain. It does not matter who wrote them or how often a batch was
 * retried.
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
  private final AtomicBoolean roundInFlight = new AtomicBoolean();
  private final Counter postedTokens;
  private final Counter lateTokens;

  /**
   * Creates the poster and starts to post periodically.
   *
   * @param table the platform's table
   * @param poster the incarnation that posts, recorded for audits
   * @param timers the clock and timer service
   * @param metrics the metric registry
   * @param postMs the interval between two batches, in milliseconds
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

  /** A batch of bills for one allotment that is being written. */
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
   * Adds a bill.
   *
   * @param allotment the allotment whose tokens it used
   * @param entry the bill
   * @return completes when the bill has been written to the ledger
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
   * Adds a bill that another instance may already have posted.
   *
   * <p>An instance may post a bill on behalf of a runner that it considers crashed but that has
   * already posted it, so the request would be billed twice. The known sequence number of the
   * ledger is therefore dropped, so that all batches of the allotment are read again in the next
   * round, before the bill is written. It is dropped only between two rounds, because a round in
   * flight would continue counting from a wrong number.
   *
   * <p>The runner may return later and add the bill for the first time. Recovered bills are
   * therefore marked in the ledger, and every poster that reads or writes such a mark remembers the
   * bill.
   *
   * @param allotment the allotment whose tokens it used
   * @param entry the bill
   * @return completes when the bill has been written to the ledger
   */
  public CompletableFuture<Void> recover(AllotmentId allotment, LedgerEntry entry) {
    synchronized (pending) {
      rescan.add(allotment);
      return add(allotment, entry, true);
    }
  }

  /**
   * Returns the number of bills that have not been written to the ledger yet.
   *
   * @return the number of pending bills
   */
  public int pendingCount() {
    synchronized (pending) {
      return pending.values().stream().mapToInt(Map::size).sum();
    }
  }

  /** Writes the next batches, unless a round is in flight. */
  public void flush() {
    if (!roundInFlight.compareAndSet(false, true)) {
      return;
    }
    Map<AllotmentId, List<Pending>> round = nextRound();
    List<AllotmentId> allotments = List.copyOf(round.keySet());
    if (allotments.isEmpty()) {
      roundInFlight.set(false);
      return;
    }
    var unused =
        table
            .read(allotments.stream().map(id -> BudgetTables.allotment(id.toString())).toList())
            .thenCompose(rows -> dropPosted(allotments, rows))
            .thenCompose(rows -> write(round, rows))
            .whenComplete(
                (nothing, error) -> {
                  roundInFlight.set(false);
                  if (error != null) {
                    Logger.debug("failed to write ledger batch: {}", error.getMessage());
                  }
                });
  }

  /**
   * Selects the bills of a round before the ledger is read. Bills added after the read could
   * already be in the ledger and must not be written in this round.
   */
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

  /** Reads batches that are not known yet, and drops the pending bills that they contain. */
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
            batches -> {
              batches.forEach(row -> applyBatch(allotment, row));
              if (batches.isEmpty()) {
                throw new IllegalStateException("ledger of " + allotment + " is missing a batch");
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
   * Stores bills that arrived after their allotment was closed in a table of their own, for
   * operators.
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
      Logger.error(
          "{} bills arrived after allotment {} was closed", batch.bills().size(), allotment);
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
