package io.mothrill.core.range;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.platform.Row;
import io.mothrill.core.time.Timers;
import java.util.concurrent.atomic.AtomicBoolean;

/** A range that this incarnation owns. */
final class OwnedRange {

  private final String name;
  private final ClaimRegistry claims;
  private final RunRegistry runs;
  private final AtomicBoolean paused = new AtomicBoolean();
  private volatile Row row;

  OwnedRange(String name, Row row, PublishedValue<Membership> members, Timers timers) {
    this.name = name;
    this.row = row;
    this.claims = new ClaimRegistry(timers);
    this.runs = new RunRegistry(members, timers);
  }

  String name() {
    return name;
  }

  Row row() {
    return row;
  }

  void row(Row changed) {
    row = changed;
  }

  RangeRow state() {
    return RangeRow.of(row);
  }

  /**
   * Pauses decisions while the backup of the range is replaced.
   *
   * <p>A decision made after the new backup received the content of the range, and before the row
   * names that backup, would be unknown to the next owner, and a key would be billed twice.
   *
   * @return false when decisions are already paused
   */
  boolean pause() {
    return paused.compareAndSet(false, true);
  }

  void resume() {
    paused.set(false);
  }

  boolean isPaused() {
    return paused.get();
  }

  ClaimRegistry claims() {
    return claims;
  }

  RunRegistry runs() {
    return runs;
  }

  RangeContent content() {
    return new RangeContent(claims.all(), runs.decidedRuns());
  }

  void restore(RangeContent content) {
    content.claims().forEach(claim -> claims.putIfAbsent(claim, false));
    content.runs().forEach(runs::recordDecision);
  }
}
