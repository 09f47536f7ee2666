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
 * The requests that are refused, as the platform's table keeps them for processes that start.
 *
 * <p>Failure: all instances lose power at the same moment, and with it what they know. Symptom: a
 * request that was refused everywhere ends three upstreams more. A row is written when a request
 * has ended its third upstream, and all rows are read once by each new process. Nothing is read or
 * written otherwise: running instances hear of it from each other sooner.
 */
final class QuarantineTable {

  static final String TABLE = "quarantine";

  /** Many more requests than are ever refused at a time; rows beyond are left for the next one. */
  private static final int MAX_ROWS = 200;

  /** Pause before a call that failed is made again. */
  private static final long RETRY_MS = 700;

  /** Rows that wait to be written; more would outlive the store's absence for nothing. */
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
   * Begins to read.
   *
   * @param rows the platform's table
   * @param storeClock the clock of its store, by which rows tell their times
   * @param records what is known here
   * @param found gets what the rows tell
   * @param timers the time
   */
  QuarantineTable(
      TableService rows,
      StoreClock storeClock,
      CrashRecords records,
      Consumer<CrashRecord> found,
      Timers timers) {
    this.rows = rows;
    this.storeClock = storeClock;
    this.records = records;
    this.onLoaded = found;
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
                Logger.debug("refused requests not read yet: {}", error.getMessage());
                timers.after(RETRY_MS, this::load);
              }
            });
  }

  private void onRow(Row row) {
    if (!isValid(row.cells())) {
      Logger.warn("row not understood table={} key={}", TABLE, row.key().key());
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
   * Looks whether a row is one of these.
   *
   * <p>Failure: another program has written into the table. Symptom: what cannot be read ends the
   * reading, and the requests in the rows behind it are not refused.
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
    return IntStream.range(0, CrashRecord.MAX_CRASHES)
        .filter(number -> cells.find(INCARNATION + number).isPresent());
  }

  /** Writes down whether a request is refused now, once the store can be reached. */
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
    long toStoreMs = storeClock.nowMs() - timers.nowMs();
    IntStream.range(0, record.crashes().size())
        .forEach(
            number -> {
              Crash crash = record.crashes().get(number);
              cells.add(INCARNATION + number, crash.incarnation());
              cells.add(REPORTER + number, crash.reporter());
              cells.add(AT + number, crash.atMs() + toStoreMs);
            });
    return cells.build();
  }

  private CrashRecord read(Row row) {
    Cells cells = row.cells();
    long toSteadyMs = timers.nowMs() - storeClock.nowMs();
    CrashRecord empty = CrashRecord.of(new Fingerprint(cells.number(HIGH), cells.number(LOW)));
    return crashNumbers(cells)
        .mapToObj(
            number ->
                new Crash(
                    cells.text(INCARNATION + number),
                    cells.text(REPORTER + number),
                    Math.min(timers.nowMs(), cells.number(AT + number) + toSteadyMs)))
        .reduce(empty, CrashRecord::with, CrashRecord::merge);
  }
}
