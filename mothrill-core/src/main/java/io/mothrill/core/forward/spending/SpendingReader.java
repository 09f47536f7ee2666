package io.mothrill.core.forward.spending;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Reads the rows about spending: those that a renewal depends on every time, and the others at
 * longer intervals.
 *
 * <p>A renewal is safe if the instance's own row and the rows of the teams are as current as the
 * conditions of its transaction. The rows of the other instances only determine how to share tokens
 * and whom to ask for loans, and there are many of them: reading all of them with each renewal
 * would cost every instance more with each instance that is added.
 */
final class SpendingReader {

  /**
   * Average number of peer rows that are read per second. A row with twenty teams has about one
   * kilobyte, so this stays within the nine kilobytes per second that an instance may use.
   */
  private static final int INSTANCE_ROWS_PER_S = 6;

  private static final long MS_PER_S = 1_000;

  /**
   * Grace period for an overdue full read: a read is part of a renewal, and one renewal may fail.
   */
  private static final long FULL_READ_GRACE_MS = 2_500;

  private final TableService table;
  private final StoreClock storeClock;
  private final Timers timers;
  private final RowKey ownKey;
  private volatile SpendingTable.Snapshot latestSnapshot = SpendingTable.Snapshot.EMPTY;
  private volatile long fullReadMs = Long.MIN_VALUE / 2;

  SpendingReader(TableService table, StoreClock storeClock, Timers timers, RowKey ownKey) {
    this.table = table;
    this.storeClock = storeClock;
    this.timers = timers;
    this.ownKey = ownKey;
  }

  /**
   * Reads the rows that the next renewal depends on; fails as the table does.
   *
   * @param withTeams true when the rows of teams may change with the renewal
   */
  CompletableFuture<SpendingTable.Snapshot> read(boolean withTeams) {
    return readNeeded(withTeams)
        .thenApply(
            snapshot -> {
              latestSnapshot = snapshot;
              return snapshot;
            });
  }

  private CompletableFuture<SpendingTable.Snapshot> readNeeded(boolean withTeams) {
    if (fullReadAgeMs() >= fullReadIntervalMs()) {
      return readAll();
    }
    return withTeams
        ? readOwnAndTeams()
        : readOwn().thenApply(own -> latestSnapshot.withUpdated(own));
  }

  /** Returns the age of the peers' rows, in milliseconds since the last full read. */
  long fullReadAgeMs() {
    return timers.nowMs() - fullReadMs;
  }

  /**
   * Checks whether the last full read is not overdue.
   *
   * @param sinceMs since when this process has been registered; the result is false until a full
   *     read interval and the grace period have passed since then
   */
  boolean isFullReadCurrent(long sinceMs) {
    long dueMs = fullReadIntervalMs() + FULL_READ_GRACE_MS;
    return fullReadAgeMs() <= dueMs && timers.nowMs() - sinceMs >= dueMs;
  }

  /**
   * Returns the interval between two full reads, slightly reduced because renewals come once per
   * second.
   */
  private long fullReadIntervalMs() {
    long intervalMs = latestSnapshot.instances().size() * MS_PER_S / INSTANCE_ROWS_PER_S;
    return intervalMs - MS_PER_S / 2;
  }

  private CompletableFuture<SpendingTable.Snapshot> readAll() {
    return readPages("", "", new ArrayList<>())
        .thenApply(
            rows -> {
              fullReadMs = timers.nowMs();
              return SpendingTable.Snapshot.of(rows, storeClock.nowMs());
            });
  }

  private CompletableFuture<List<Row>> readOwn() {
    return table.read(List.of(ownKey));
  }

  private CompletableFuture<SpendingTable.Snapshot> readOwnAndTeams() {
    CompletableFuture<List<Row>> own = readOwn();
    return readPages(SpendingTable.TEAM_PREFIX, "", new ArrayList<>())
        .thenCombine(
            own,
            (teams, ownRows) ->
                latestSnapshot.withTeams(
                    Stream.concat(teams.stream(), ownRows.stream()).toList(), storeClock.nowMs()));
  }

  private CompletableFuture<List<Row>> readPages(String prefix, String afterKey, List<Row> rows) {
    return table
        .scan(SpendingTable.TABLE, prefix, afterKey, SpendingTable.MAX_ROWS)
        .thenCompose(
            page -> {
              rows.addAll(page);
              return page.size() < SpendingTable.MAX_ROWS
                  ? CompletableFuture.completedFuture(rows)
                  : readPages(prefix, page.get(page.size() - 1).key().key(), rows);
            });
  }
}
