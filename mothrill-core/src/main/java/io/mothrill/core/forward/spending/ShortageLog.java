package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/**
 * Logs token shortages: for each team, the tokens requested from the table and from peers, the
 * results and the refusals. It writes one line per second for each of the teams with the most
 * refusals, and none while nothing is refused.
 */
final class ShortageLog {

  private static final long PERIOD_MS = 1_000;

  /** Teams logged in one period, so that a shortage of all teams does not flood the log. */
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

  /** Called when a row that requests tokens was written. */
  void onWritten(String team, long wantedTokens, long gotTokens) {
    Shortage shortage = of(team);
    shortage.wantedTokens.add(wantedTokens);
    shortage.gotTokens.add(gotTokens);
  }

  /** Called when a row that requests tokens was not written because of a conflict. */
  void onConflict(String team) {
    of(team).conflictCount.increment();
  }

  /** Called when another instance was asked for a loan and had nothing available. */
  void onNothingLent(String team) {
    of(team).emptyCount.increment();
  }

  /** Called when another instance was asked for a loan and did not answer in time. */
  void onUnanswered(String team) {
    of(team).unansweredCount.increment();
  }

  /** Called when a request was refused. */
  void onRefused(String team, long neededTokens, TeamTokens tokens) {
    Shortage shortage = of(team);
    shortage.refusedCount.increment();
    shortage.tokens = tokens;
    refusedCount.increment();
    if (tokens.isCoveredByUnassigned(neededTokens)) {
      refusedThoughUnassignedCount.increment();
    }
  }

  /** Returns the number of refusals since the start. */
  long refusedCount() {
    return refusedCount.sum();
  }

  /** Returns the number of those refusals that the table's unassigned tokens would have covered. */
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
        "token shortage team={} refused={} wantedTokens={} gotTokens={} conflicts={} empty={}"
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
