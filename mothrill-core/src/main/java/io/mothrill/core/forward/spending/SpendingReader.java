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
 * Reads the rows about spending: what a renewal is written on each time, the rest now and then.
 *
 * <p>A renewal is safe if the own row and the rows of the teams are as new as its conditions say.
 * The rows of the other instances only say how to share and whom to ask, and there are many of
 * them: reading them all in each renewal would cost each instance more with every one that is
 * added.
 */
final class SpendingReader {

  /**
   * Rows of other instances that are read in a second, on average: a row of twenty teams has about
   * a kilobyte, so this stays within the nine kilobytes a second that an instance may use.
   */
  private static final int INSTANCE_ROWS_PER_S = 6;

  private static final long MS_PER_S = 1_000;

  /** A read goes with a renewal, and one of those may fail. */
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
   * Reads what the next row is written on; fails as the table does.
   *
   * @param withTeams true when the rows of teams may change with it
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

  /** Says how old the rows of the other instances are. */
  long fullReadAgeMs() {
    return timers.nowMs() - fullReadMs;
  }

  /**
   * Says whether the rows of the other instances were read about when they were due.
   *
   * @param sinceMs since when that has been so, or would have been
   */
  boolean isFullReadCurrent(long sinceMs) {
    long dueMs = fullReadIntervalMs() + FULL_READ_GRACE_MS;
    return fullReadAgeMs() <= dueMs && timers.nowMs() - sinceMs >= dueMs;
  }

  /** Slightly less than due, as renewals come at whole seconds of their own. */
  private long fullReadIntervalMs() {
    long pauseMs = latestSnapshot.instances().size() * MS_PER_S / INSTANCE_ROWS_PER_S;
    return pauseMs - MS_PER_S / 2;
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

  private CompletableFuture<List<Row>> readPages(String prefix, String afterKey, List<Row> before) {
    return table
        .scan(SpendingTable.TABLE, prefix, afterKey, SpendingTable.MAX_ROWS)
        .thenCompose(
            page -> {
              before.addAll(page);
              return page.size() < SpendingTable.MAX_ROWS
                  ? CompletableFuture.completedFuture(before)
                  : readPages(prefix, page.get(page.size() - 1).key().key(), before);
            });
  }
}
