package io.mothrill.core.fake;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/** An in-memory table service; {@link #faults()} injects delays, outages and lost responses. */
public final class FakeTable implements TableService {

  /** Entries in a transaction; a changed row takes one for its condition and one for its value. */
  private static final int MAX_ENTRIES = 100;

  private final TreeMap<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private final FaultInjector faults;
  private final AtomicLong readCount = new AtomicLong();
  private final AtomicLong writeCount = new AtomicLong();
  private final AtomicLong rowsWrittenCount = new AtomicLong();

  /**
   * Creates a table service without rows.
   *
   * @param timers the timer service
   */
  public FakeTable(Timers timers) {
    this.faults = new FaultInjector(timers);
  }

  /**
   * Returns the fault injector of this table.
   *
   * @return the fault injector
   */
  public FaultInjector faults() {
    return faults;
  }

  /**
   * Returns a view of the same rows with its own fault injector, such as the connection of one
   * instance.
   *
   * @param ownFaults the fault injector of the view
   * @return a view of this table
   */
  public TableService withFaults(FaultInjector ownFaults) {
    return new FaultyView(ownFaults);
  }

  /**
   * Returns the number of read and scan calls.
   *
   * @return calls since the start
   */
  public long readCount() {
    return readCount.get();
  }

  /**
   * Returns the number of write calls.
   *
   * @return calls since the start
   */
  public long writeCount() {
    return writeCount.get();
  }

  /**
   * Returns the number of rows written by committed transactions.
   *
   * @return rows since the start
   */
  public long rowsWrittenCount() {
    return rowsWrittenCount.get();
  }

  @Override
  public CompletableFuture<List<Row>> read(List<RowKey> keys) {
    return new FaultyView(faults).read(keys);
  }

  @Override
  public CompletableFuture<List<Row>> scan(
      String table, String prefix, String afterKey, int limit) {
    return new FaultyView(faults).scan(table, prefix, afterKey, limit);
  }

  @Override
  public CompletableFuture<Boolean> write(Transaction transaction) {
    return new FaultyView(faults).write(transaction);
  }

  private synchronized List<Row> readNow(List<RowKey> keys) {
    readCount.incrementAndGet();
    return keys.stream().map(this::rowNow).toList();
  }

  private synchronized List<Row> scanNow(String table, String prefix, String afterKey, int limit) {
    readCount.incrementAndGet();
    String from = afterKey.compareTo(prefix) > 0 ? afterKey : prefix;
    return tables.getOrDefault(table, new TreeMap<>()).tailMap(from, true).values().stream()
        .takeWhile(row -> row.key().key().startsWith(prefix))
        .filter(row -> row.key().key().compareTo(afterKey) > 0)
        .limit(limit)
        .toList();
  }

  private synchronized boolean writeNow(Transaction transaction) {
    writeCount.incrementAndGet();
    if (2 * transaction.writes().size() + transaction.checks().size() > MAX_ENTRIES) {
      throw new IllegalArgumentException("transaction of over " + MAX_ENTRIES + " entries");
    }
    boolean current =
        transaction.writes().stream()
                .allMatch(write -> rowNow(write.key()).version() == write.expectedVersion())
            && transaction.checks().stream()
                .allMatch(check -> rowNow(check.key()).version() == check.expectedVersion());
    if (current) {
      transaction.writes().forEach(this::store);
      rowsWrittenCount.addAndGet(transaction.writes().size());
    }
    return current;
  }

  private void store(Transaction.Write write) {
    TreeMap<String, Row> table =
        tables.computeIfAbsent(write.key().table(), name -> new TreeMap<>());
    if (write.cells().isEmpty()) {
      table.remove(write.key().key());
      return;
    }
    Row next = new Row(write.key(), write.expectedVersion() + 1, write.cells().get());
    table.put(write.key().key(), next);
  }

  private Row rowNow(RowKey key) {
    return tables
        .getOrDefault(key.table(), new TreeMap<>())
        .getOrDefault(key.key(), Row.absent(key));
  }

  private final class FaultyView implements TableService {
    private final FaultInjector faults;

    FaultyView(FaultInjector faults) {
      this.faults = faults;
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
      return faults.call("read", () -> readNow(keys));
    }

    @Override
    public CompletableFuture<List<Row>> scan(
        String table, String prefix, String afterKey, int limit) {
      return faults.call("scan", () -> scanNow(table, prefix, afterKey, limit));
    }

    @Override
    public CompletableFuture<Boolean> write(Transaction transaction) {
      return faults.call("write", () -> writeNow(transaction));
    }
  }
}
