package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.tinylog.Logger;

/**
 * Stores the quarantined requests in the platform's table for processes that start later.
 *
 * <p>If all instances lose power at the same moment, they lose all crash records, and a request
 * that was refused everywhere would crash three more upstreams. A row is written when a request has
 * crashed its third upstream, and each new process reads all rows once. Nothing else is read or
 * written, as running instances learn about crashes from each other sooner.
 */
final class QuarantineTable {

  static final String TABLE = "quarantine";

  /**
   * Far more requests than are ever quarantined at the same time; further rows are left to the next
   * process.
   */
  private static final int MAX_ROWS = 200;

  /** Delay before a failed call is retried. */
  private static final long RETRY_MS = 700;

  /**
   * Maximum number of rows waiting to be written; more would have no use after an outage of the
   * store.
   */
  private static final int MAX_PENDING_SAVES = 100;

  private static final String INCARNATION = "incarnation-";
  private static final String REPORTER = "reporter-";
  private static final String AT = "atMs-";
  private static final String HIGH = "high";
  private static final String LOW = "low";

  private final TableService rows;
  private final StoreClock storeClock;
  private final CrashRecords records;
  private final Consumer<CrashRecord> onLoaded;
  private final Timers timers;
  private final Set<Fingerprint> pendingSaves = new LinkedHashSet<>();
  private boolean saving;

  /**
   * Creates the table and starts reading it.
   *
   * @param rows the platform's table
   * @param storeClock the clock of the store, in which rows hold their times
   * @param records the records of this instance
   * @param onLoaded called with each record read
   * @param timers the clock
   */
  QuarantineTable(
      TableService rows,
      StoreClock storeClock,
      CrashRecords records,
      Consumer<CrashRecord> onLoaded,
      Timers timers) {
    this.rows = rows;
    this.storeClock = storeClock;
    this.records = records;
    this.onLoaded = onLoaded;
    this.timers = timers;
    timers.after(0, this::load);
  }

  private void load() {
    rows.scan(TABLE, "", "", MAX_ROWS)
        .whenComplete(
            (read, error) -> {
              if (error == null) {
                read.forEach(this::onRow);
              } else {
                Logger.debug("quarantine table not read yet: {}", error.getMessage());
                timers.after(RETRY_MS, this::load);
              }
            });
  }

  private void onRow(Row row) {
    if (!isValid(row.cells())) {
      Logger.warn("ignoring invalid row table={} key={}", TABLE, row.key().key());
      return;
    }
    long nowMs = timers.nowMs();
    CrashRecord record = read(row);
    if (record.countAt(nowMs) > 0) {
      onLoaded.accept(record);
    } else {
      save(record.fingerprint());
    }
  }

  /**
   * Checks whether a row has the expected cells.
   *
   * <p>Another program may have written into the table. A row that cannot be parsed would abort the
   * read, and the requests in the rows after it would not be refused.
   */
  private static boolean isValid(Cells cells) {
    return isNumber(cells, HIGH)
        && isNumber(cells, LOW)
        && crashNumbers(cells)
            .allMatch(
                number ->
                    cells.find(INCARNATION + number).filter(String.class::isInstance).isPresent()
                        && cells
                            .find(REPORTER + number)
                            .filter(String.class::isInstance)
                            .isPresent()
                        && isNumber(cells, AT + number));
  }

  private static boolean isNumber(Cells cells, String name) {
    return cells.find(name).filter(Long.class::isInstance).isPresent();
  }

  private static IntStream crashNumbers(Cells cells) {
    return IntStream.range(0, CrashRecord.MAX_KEPT)
        .filter(number -> cells.find(INCARNATION + number).isPresent());
  }

  /** Saves whether a request is quarantined now, as soon as the store is reachable. */
  synchronized void save(Fingerprint fingerprint) {
    if (pendingSaves.size() < MAX_PENDING_SAVES) {
      pendingSaves.add(fingerprint);
      saveNext();
    }
  }

  private synchronized void saveNext() {
    Optional<Fingerprint> next = pendingSaves.stream().findFirst();
    if (saving || next.isEmpty()) {
      return;
    }
    saving = true;
    pendingSaves.remove(next.get());
    RowKey key = new RowKey(TABLE, next.get().toString());
    rows.read(List.of(key))
        .thenCompose(read -> write(read.get(0), next.get()))
        .whenComplete((written, error) -> onSaved(next.get(), error == null && written));
  }

  private synchronized void onSaved(Fingerprint fingerprint, boolean written) {
    saving = false;
    if (written) {
      saveNext();
    } else {
      pendingSaves.add(fingerprint);
      timers.after(RETRY_MS, this::saveNext);
    }
  }

  private CompletableFuture<Boolean> write(Row row, Fingerprint fingerprint) {
    Optional<CrashRecord> refused =
        records.find(fingerprint).filter(record -> record.isQuarantined(timers.nowMs()));
    if (refused.isPresent()) {
      return rows.write(Transaction.on(row, cells(refused.get())));
    }
    return row.exists()
        ? rows.write(new Transaction(List.of(), List.of()).andDelete(row))
        : CompletableFuture.completedFuture(true);
  }

  private Cells cells(CrashRecord record) {
    Cells.Builder cells = Cells.builder();
    cells.add(HIGH, record.fingerprint().high());
    cells.add(LOW, record.fingerprint().low());
    long storeOffsetMs = storeClock.nowMs() - timers.nowMs();
    IntStream.range(0, record.crashes().size())
        .forEach(
            number -> {
              Crash crash = record.crashes().get(number);
              cells.add(INCARNATION + number, crash.incarnation());
              cells.add(REPORTER + number, crash.reporter());
              cells.add(AT + number, crash.atMs() + storeOffsetMs);
            });
    return cells.build();
  }

  private CrashRecord read(Row row) {
    Cells cells = row.cells();
    long steadyOffsetMs = timers.nowMs() - storeClock.nowMs();
    CrashRecord empty = CrashRecord.of(new Fingerprint(cells.number(HIGH), cells.number(LOW)));
    return crashNumbers(cells)
        .mapToObj(
            number ->
                new Crash(
                    cells.text(INCARNATION + number),
                    cells.text(REPORTER + number),
                    Math.min(timers.nowMs(), cells.number(AT + number) + steadyOffsetMs)))
        .reduce(empty, CrashRecord::with, CrashRecord::merge);
  }
}
