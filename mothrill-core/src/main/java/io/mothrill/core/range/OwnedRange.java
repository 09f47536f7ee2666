package io.mothrill.core.range;

import io.mothrill.core.board.Section;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.platform.Row;
import io.mothrill.core.time.Timers;

/** A range that this incarnation owns. */
final class OwnedRange {

  private final String name;
  private final ClaimBook claims;
  private final RunBook runs;
  private volatile Row row;

  OwnedRange(String name, Row row, Section<Membership> members, Timers timers) {
    this.name = name;
    this.row = row;
    this.claims = new ClaimBook(timers);
    this.runs = new RunBook(members, timers);
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

  ClaimBook claims() {
    return claims;
  }

  RunBook runs() {
    return runs;
  }

  RangeContent content() {
    return new RangeContent(claims.all(), runs.decidedRuns());
  }

  void takeUp(RangeContent content) {
    content.claims().forEach(claim -> claims.hold(claim, false));
    content.runs().forEach(runs::decided);
  }
}
