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
  private static final long LATE_READ_MS = 2_500;

  private final TableService table;
  private final StoreClock storeClock;
  private final Timers timers;
  private final RowKey ownKey;
  private volatile SpendingTables.Contents latest = SpendingTables.Contents.EMPTY;
  private volatile long wholeReadMs = Long.MIN_VALUE / 2;

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
  CompletableFuture<SpendingTables.Contents> read(boolean withTeams) {
    return readNeeded(withTeams)
        .thenApply(
            contents -> {
              latest = contents;
              return contents;
            });
  }

  private CompletableFuture<SpendingTables.Contents> readNeeded(boolean withTeams) {
    if (sinceWholeReadMs() >= wholeReadPauseMs()) {
      return readWhole();
    }
    return withTeams ? readOwnAndTeams() : readOwn().thenApply(own -> latest.withNewer(own));
  }

  /** Says how old the rows of the other instances are. */
  long sinceWholeReadMs() {
    return timers.nowMs() - wholeReadMs;
  }

  /**
   * Says whether the rows of the other instances were read about when they were due.
   *
   * @param sinceMs since when that has been so, or would have been
   */
  boolean isWholeViewCurrent(long sinceMs) {
    long dueMs = wholeReadPauseMs() + LATE_READ_MS;
    return sinceWholeReadMs() <= dueMs && timers.nowMs() - sinceMs >= dueMs;
  }

  /** Slightly less than due, as renewals come at whole seconds of their own. */
  private long wholeReadPauseMs() {
    long pauseMs = latest.instances().size() * MS_PER_S / INSTANCE_ROWS_PER_S;
    return pauseMs - MS_PER_S / 2;
  }

  private CompletableFuture<SpendingTables.Contents> readWhole() {
    return readPages("", "", new ArrayList<>())
        .thenApply(
            rows -> {
              wholeReadMs = timers.nowMs();
              return SpendingTables.Contents.of(rows, storeClock.nowMs());
            });
  }

  private CompletableFuture<List<Row>> readOwn() {
    return table.read(List.of(ownKey));
  }

  private CompletableFuture<SpendingTables.Contents> readOwnAndTeams() {
    CompletableFuture<List<Row>> own = readOwn();
    return readPages(SpendingTables.TEAM_PREFIX, "", new ArrayList<>())
        .thenCombine(
            own,
            (teams, ownRows) ->
                latest.withTeams(
                    Stream.concat(teams.stream(), ownRows.stream()).toList(), storeClock.nowMs()));
  }

  private CompletableFuture<List<Row>> readPages(String prefix, String afterKey, List<Row> before) {
    return table
        .scan(SpendingTables.TABLE, prefix, afterKey, SpendingTables.MAX_ROWS)
        .thenCompose(
            page -> {
              before.addAll(page);
              return page.size() < SpendingTables.MAX_ROWS
                  ? CompletableFuture.completedFuture(before)
                  : readPages(prefix, page.get(page.size() - 1).key().key(), before);
            });
  }
}
