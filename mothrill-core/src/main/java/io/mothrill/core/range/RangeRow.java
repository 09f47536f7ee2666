package io.mothrill.core.range;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.request.RequestKey;

/**
 * A range of keys as stored in the platform's table.
 *
 * @param owner the incarnation that decides; empty when it has released the range
 * @param backup the incarnation that acknowledges decisions; empty when there is none
 * @param epoch a number that increases with every change
 */
record RangeRow(String owner, String backup, long epoch) {

  static final String CLAIMS = "claims";
  private static final String REQUEST_ID = "requestId";
  private static final String WALL_MS = "wallMs";

  static RowKey key(String range) {
    return new RowKey("key-ranges", range);
  }

  static RangeRow of(Row row) {
    return new RangeRow(
        row.cells().text("owner"), row.cells().text("backup"), row.cells().number("epoch"));
  }

  RangeRow next(String nextOwner, String nextBackup) {
    return new RangeRow(nextOwner, nextBackup, epoch + 1);
  }

  Cells toCells() {
    return Cells.empty().with("owner", owner).with("backup", backup).with("epoch", epoch);
  }

  /** Returns the prefix of the keys under which the claims of a range are stored. */
  static String prefix(String range) {
    return range + "/";
  }

  static RowKey claim(SoleClaim claim) {
    return new RowKey(CLAIMS, prefix(KeyRanges.of(claim.key())) + claim.key());
  }

  static Cells claimCells(SoleClaim claim, long wallMs) {
    return Cells.empty().with(REQUEST_ID, claim.requestId()).with(WALL_MS, wallMs);
  }

  static SoleClaim readClaim(String range, Row row) {
    String text = row.key().key().substring(prefix(range).length());
    int slash = text.indexOf('/');
    RequestKey key = new RequestKey(text.substring(0, slash), text.substring(slash + 1));
    return new SoleClaim(key, row.cells().text(REQUEST_ID));
  }
}
