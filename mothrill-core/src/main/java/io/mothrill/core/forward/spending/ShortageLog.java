package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/**
 * Writes what was asked of table and peers for each team, what came of it and what was refused: a
 * line a second for each of the teams that lack most, and none while nothing is refused.
 */
final class ShortageLog {

  private static final long PERIOD_MS = 1_000;

  /** Teams that get a line in one period, so that a shortage of all teams does not fill the log. */
  private static final int MAX_LINES = 4;

  private final Map<String, Shortage> byTeam = new ConcurrentHashMap<>();
  private final LongAdder refusedCount = new LongAdder();
  private final LongAdder refusedThoughUnassignedCount = new LongAdder();

  ShortageLog(Timers timers) {
    timers.every(PERIOD_MS, this::write);
  }

  private static final class Shortage {
    private final LongAdder wantedTokens = new LongAdder();
    private final LongAdder gotTokens = new LongAdder();
    private final LongAdder conflictCount = new LongAdder();
    private final LongAdder emptyCount = new LongAdder();
    private final LongAdder unansweredCount = new LongAdder();
    private final LongAdder refusedCount = new LongAdder();
    private volatile TeamTokens tokens;
  }

  private Shortage of(String team) {
    return byTeam.computeIfAbsent(team, name -> new Shortage());
  }

  /** Notes that a row was written that asked for tokens. */
  void onWritten(String team, long wantedTokens, long gotTokens) {
    Shortage shortage = of(team);
    shortage.wantedTokens.add(wantedTokens);
    shortage.gotTokens.add(gotTokens);
  }

  /** Notes that a row that asked for tokens was not written. */
  void onConflict(String team) {
    of(team).conflictCount.increment();
  }

  /** Notes that another instance was asked and had nothing ready. */
  void onNothingLent(String team) {
    of(team).emptyCount.increment();
  }

  /** Notes that another instance was asked and did not answer in time. */
  void onUnanswered(String team) {
    of(team).unansweredCount.increment();
  }

  /** Notes that a request was refused. */
  void onRefused(String team, long neededTokens, TeamTokens tokens) {
    Shortage shortage = of(team);
    shortage.refusedCount.increment();
    shortage.tokens = tokens;
    refusedCount.increment();
    if (tokens.isCoveredByUnassigned(neededTokens)) {
      refusedThoughUnassignedCount.increment();
    }
  }

  /** Counts the refusals since the start. */
  long refusedCount() {
    return refusedCount.sum();
  }

  /** Counts those of them that what the table had unassigned would have covered. */
  long refusedThoughUnassignedCount() {
    return refusedThoughUnassignedCount.sum();
  }

  private void write() {
    byTeam.entrySet().stream()
        .filter(entry -> entry.getValue().tokens != null)
        .sorted(Comparator.comparingLong(entry -> -entry.getValue().refusedCount.sum()))
        .limit(MAX_LINES)
        .forEach(entry -> write(entry.getKey(), entry.getValue()));
    byTeam.clear();
  }

  private static void write(String team, Shortage shortage) {
    Logger.info(
        "tokens short team={} refused={} wantedTokens={} gotTokens={} conflicts={} empty={}"
            + " unanswered={}: {}",
        team,
        shortage.refusedCount.sum(),
        shortage.wantedTokens.sum(),
        shortage.gotTokens.sum(),
        shortage.conflictCount.sum(),
        shortage.emptyCount.sum(),
        shortage.unansweredCount.sum(),
        shortage.tokens.describe());
  }
}
