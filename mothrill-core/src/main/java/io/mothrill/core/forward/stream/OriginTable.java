package io.mothrill.core.forward.stream;

import io.mothrill.core.forward.stream.OriginRecords.Entry;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Stores the origins of streams in the platform's table, for processes that start after all
 * instances have lost their memory.
 *
 * <p>Origins are written only while several versions of a service can have begun streams that may
 * still be taken up, in batches and never on the way of a request. A stream that no batch has taken
 * yet stays unknown. Only origins whose first event has been relayed are written: an attempt
 * without an event may be followed by one at another version.
 */
final class OriginTable {

  static final String TABLE = "stream-origin";

  /** Interval at which a writer looks for partitions and services that it has to record. */
  private static final long CHECK_INTERVAL_MS = 100;

  /**
   * Shortest interval between two batches of a writer. Many streams last less than a second, so the
   * first origin after it is written at once.
   */
  private static final long MIN_INTERVAL_MS = 30;

  /** Writes per second of all writers together, a part of what the table allows. */
  private static final long MAX_WRITES_PER_S = 100;

  /** Interval at which a writer deletes the rows that have expired. */
  private static final long DELETION_INTERVAL_MS = 2_000;

  /** A transaction holds a hundred entries, and the deletion of a row takes two. */
  private static final int MAX_DELETED = 50;

  /** More rows than a writer adds while streams may be taken up. */
  private static final int MAX_ROWS = 5_000;

  /** Rows hold 64 KiB. Ids that are longer than usual are not written. */
  private static final int MAX_BATCH = 1_500;

  private static final int MAX_ID_CHARS = 36;

  /** More than a writer receives while the table is unreachable for seconds. */
  private static final int MAX_PENDING = 20_000;

  private static final long RETRY_MS = 700;

  private static final String AT = "atMs";
  private static final String KEEP = "keepMs";
  private static final String COUNT = "originCount";
  private static final String SERVICE = "service-";
  private static final String VERSION = "version-";
  private static final String IDS = "ids-";

  private final OriginWriters writers;
  private final OriginRecords records;
  private final Predicate<String> hasSeveralVersions;
  private final TableService rows;
  private final StoreClock storeClock;
  private final Timers timers;
  private final Map<String, Map<String, Entry>> pending = new HashMap<>();
  private final Set<String> services = new HashSet<>();
  private final Set<String> recordedServices = new HashSet<>();
  private final Set<String> loadedPartitions = new HashSet<>();
  private final LongAdder writtenCount = new LongAdder();
  private final LongAdder readCount = new LongAdder();
  private boolean writing;
  private boolean scheduled;
  private long nextWriteMs;
  private volatile boolean hasRows = true;

  /**
   * Creates the table and starts reading it.
   *
   * @param writers selects the instances that write
   * @param records the records of this instance
   * @param hasSeveralVersions whether several versions of a service can have begun streams that may
   *     still be taken up, as far as this instance knows
   * @param rows the platform's table
   * @param storeClock the clock of the store, in which rows hold their times
   * @param timers the clock and timers
   */
  OriginTable(
      OriginWriters writers,
      OriginRecords records,
      Predicate<String> hasSeveralVersions,
      TableService rows,
      StoreClock storeClock,
      Timers timers) {
    this.writers = writers;
    this.records = records;
    this.hasSeveralVersions = hasSeveralVersions;
    this.rows = rows;
    this.storeClock = storeClock;
    this.timers = timers;
    timers.after(0, this::loadOwnPartitions);
    timers.every(CHECK_INTERVAL_MS, this::check);
    timers.every(DELETION_INTERVAL_MS, this::deleteExpired);
  }

  private synchronized void loadOwnPartitions() {
    writers.ownPartitions().stream().filter(loadedPartitions::add).forEach(this::load);
  }

  private void load(String partition) {
    rows.scan(TABLE, partition, "", MAX_ROWS)
        .whenComplete(
            (read, error) -> {
              if (error == null) {
                long origins = read.stream().map(Row::cells).mapToLong(this::addRecords).sum();
                readCount.add(origins);
                Logger.info(
                    "stream origins read partition={} rows={} origins={}",
                    partition,
                    read.size(),
                    origins);
              } else {
                Logger.debug("stream origins not read yet: {}", error.getMessage());
                timers.after(RETRY_MS, () -> load(partition));
              }
            });
  }

  /**
   * Records the origins of a row and returns their number. Values of other types than expected read
   * as 0 or empty and add nothing.
   */
  private long addRecords(Cells cells) {
    long keepMs = remainingMs(cells);
    if (keepMs <= 0) {
      return 0;
    }
    return LongStream.range(0, Math.min(cells.number(COUNT), MAX_BATCH))
        .map(number -> addRecords(cells, number, keepMs))
        .sum();
  }

  private long addRecords(Cells cells, long number, long keepMs) {
    StreamOrigin origin =
        new StreamOrigin(cells.text(SERVICE + number), cells.text(VERSION + number));
    List<String> ids =
        Stream.of(cells.text(IDS + number).split(" "))
            .filter(Predicate.not(String::isEmpty))
            .toList();
    ids.forEach(id -> records.addStored(id, origin, keepMs));
    return ids.size();
  }

  private long remainingMs(Cells cells) {
    return cells.number(AT) + cells.number(KEEP) - storeClock.nowMs();
  }

  private void deleteExpired() {
    if (hasRows) {
      hasRows = false;
      writers.ownPartitions().forEach(this::deleteExpired);
    }
  }

  /** Rows are in the order of their times, so the first ones expire first. */
  private void deleteExpired(String partition) {
    rows.scan(TABLE, partition, "", MAX_DELETED)
        .thenCompose(this::delete)
        .whenComplete(
            (deletedCount, error) -> {
              if (error != null) {
                hasRows = true;
                Logger.debug("stream origins not deleted: {}", error.getMessage());
              } else if (deletedCount == MAX_DELETED) {
                deleteExpired(partition);
              }
            });
  }

  private CompletableFuture<Integer> delete(List<Row> read) {
    hasRows |= !read.isEmpty();
    List<Row> expired = read.stream().filter(row -> remainingMs(row.cells()) <= 0).toList();
    Transaction deletion =
        expired.stream()
            .reduce(
                new Transaction(List.of(), List.of()),
                Transaction::andDelete,
                (first, second) -> first);
    return expired.isEmpty()
        ? CompletableFuture.completedFuture(0)
        : rows.write(deletion).thenApply(deleted -> deleted ? expired.size() : 0);
  }

  /** Called when the first event of a stream has been recorded at this instance. */
  synchronized void onRecorded(String requestId, Entry entry) {
    Set<String> ownServices = services(entry);
    services.addAll(ownServices);
    if (!Collections.disjoint(recordedServices, ownServices)) {
      enqueue(requestId, entry);
      scheduleWrite();
    }
  }

  private static Set<String> services(Entry entry) {
    return entry.origins().stream()
        .map(StreamOrigin::service)
        .collect(Collectors.toUnmodifiableSet());
  }

  private void enqueue(String requestId, Entry entry) {
    if (!writers.isWriterOf(requestId)) {
      return;
    }
    Map<String, Entry> batch =
        pending.computeIfAbsent(writers.partitionOf(requestId), partition -> new LinkedHashMap<>());
    if (batch.size() < MAX_PENDING && isStorable(requestId)) {
      batch.put(requestId, entry);
    }
  }

  private static boolean isStorable(String requestId) {
    return !requestId.isEmpty() && requestId.length() <= MAX_ID_CHARS && !requestId.contains(" ");
  }

  private void check() {
    loadOwnPartitions();
    synchronized (this) {
      updateRecordedServices();
      pending.keySet().retainAll(writers.ownPartitions());
      scheduleWrite();
    }
  }

  private synchronized void scheduleWrite() {
    if (!scheduled && !writing && pending.values().stream().anyMatch(batch -> !batch.isEmpty())) {
      scheduled = true;
      timers.after(Math.max(0, nextWriteMs - timers.nowMs()), this::writePending);
    }
  }

  /** Streams that began before the second version appeared are written when it does. */
  private void updateRecordedServices() {
    Set<String> several =
        services.stream().filter(hasSeveralVersions).collect(Collectors.toUnmodifiableSet());
    if (!recordedServices.containsAll(several)) {
      records
          .told()
          .forEach(
              (id, entry) -> {
                if (!Collections.disjoint(several, services(entry))) {
                  enqueue(id, entry);
                }
              });
    }
    recordedServices.clear();
    recordedServices.addAll(several);
  }

  private synchronized void writePending() {
    scheduled = false;
    writing = true;
    nextWriteMs =
        timers.nowMs()
            + Math.max(MIN_INTERVAL_MS, writers.writerCount() * 1_000L / MAX_WRITES_PER_S);
    CompletableFuture.allOf(
            List.copyOf(pending.entrySet()).stream()
                .filter(batch -> !batch.getValue().isEmpty())
                .map(batch -> write(batch.getKey(), takeBatch(batch.getValue())))
                .toArray(CompletableFuture[]::new))
        .whenComplete((written, error) -> onWritten());
  }

  private synchronized void onWritten() {
    writing = false;
    scheduleWrite();
  }

  private static Map<String, Entry> takeBatch(Map<String, Entry> batch) {
    Map<String, Entry> taken = new LinkedHashMap<>();
    batch.entrySet().stream()
        .limit(MAX_BATCH)
        .forEach(entry -> taken.put(entry.getKey(), entry.getValue()));
    taken.keySet().forEach(batch::remove);
    return taken;
  }

  /** Another writer that has used the same key at the same time makes the write fail. */
  private CompletableFuture<Void> write(String partition, Map<String, Entry> batch) {
    RowKey key = new RowKey(TABLE, partition + String.format("%016x", storeClock.nowMs()));
    return rows.write(Transaction.on(Row.absent(key), cells(batch)))
        .exceptionally(error -> false)
        .thenAccept(
            written -> {
              hasRows = true;
              if (written) {
                writtenCount.add(batch.size());
              } else {
                restore(partition, batch);
              }
            });
  }

  private synchronized void restore(String partition, Map<String, Entry> batch) {
    nextWriteMs = timers.nowMs() + RETRY_MS;
    Map<String, Entry> restored = new LinkedHashMap<>(batch);
    restored.putAll(pending.getOrDefault(partition, Map.of()));
    pending.put(partition, restored);
  }

  private Cells cells(Map<String, Entry> batch) {
    Map<StreamOrigin, List<String>> idsByOrigin = new LinkedHashMap<>();
    batch.forEach(
        (id, entry) ->
            entry
                .origins()
                .forEach(
                    origin ->
                        idsByOrigin.computeIfAbsent(origin, key -> new ArrayList<>()).add(id)));
    long nowMs = timers.nowMs();
    Cells.Builder cells = Cells.builder();
    cells.add(AT, storeClock.nowMs());
    cells.add(
        KEEP,
        batch.values().stream().mapToLong(entry -> entry.expiresMs() - nowMs).max().orElse(0));
    cells.add(COUNT, idsByOrigin.size());
    int number = 0;
    for (Map.Entry<StreamOrigin, List<String>> ids : idsByOrigin.entrySet()) {
      cells.add(SERVICE + number, ids.getKey().service());
      cells.add(VERSION + number, ids.getKey().version());
      cells.add(IDS + number, String.join(" ", ids.getValue()));
      number++;
    }
    return cells.build();
  }

  /** Returns the number of origins that this process has written. */
  long writtenCount() {
    return writtenCount.sum();
  }

  /** Returns the number of origins that this process has read at its start. */
  long readCount() {
    return readCount.sum();
  }
}
