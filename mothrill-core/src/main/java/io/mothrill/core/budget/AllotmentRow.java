package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;

/**
 * An allotment as the platform's table holds it: what one incarnation may spend of one budget.
 *
 * <p>All numbers are cumulative, so that a holder whose answer was lost reads the row and knows.
 *
 * @param grantedTokens granted and not given back
 * @param billedTokens billed by ledger batches; at most {@code grantedTokens}
 * @param ledgerSeq the number of ledger batches
 * @param closed true once the rest was taken back; a closed allotment takes no bill
 */
public record AllotmentRow(long grantedTokens, long billedTokens, long ledgerSeq, boolean closed) {

  /** Refuses rows that would allow overspending. */
  public AllotmentRow {
    if (billedTokens < 0 || billedTokens > grantedTokens) {
      throw new IllegalArgumentException(
          "billed " + billedTokens + " tokens must lie between 0 and granted " + grantedTokens);
    }
  }

  /**
   * Reads an allotment.
   *
   * @param row the row; may be absent
   * @return the allotment
   */
  public static AllotmentRow of(Row row) {
    Cells cells = row.cells();
    return new AllotmentRow(
        cells.number("granted"),
        cells.number("billed"),
        cells.number("ledgerSeq"),
        cells.number("closed") == 1);
  }

  /**
   * Changes what was granted.
   *
   * @param tokens added, or given back when negative
   * @return a copy
   */
  public AllotmentRow grant(long tokens) {
    return new AllotmentRow(grantedTokens + tokens, billedTokens, ledgerSeq, closed);
  }

  /**
   * Adds one ledger batch.
   *
   * @param tokens the sum of its bills
   * @return a copy
   */
  public AllotmentRow bill(long tokens) {
    return new AllotmentRow(grantedTokens, billedTokens + tokens, ledgerSeq + 1, closed);
  }

  /**
   * Closes the allotment.
   *
   * @return a copy that takes no further bill
   */
  public AllotmentRow close() {
    return new AllotmentRow(grantedTokens, billedTokens, ledgerSeq, true);
  }

  /**
   * Says how much was granted and is not billed.
   *
   * @return tokens held, reserved or not yet billed
   */
  public long unbilledTokens() {
    return grantedTokens - billedTokens;
  }

  /**
   * Writes the allotment.
   *
   * @return the row's cells
   */
  public Cells toCells() {
    return Cells.empty()
        .with("granted", grantedTokens)
        .with("billed", billedTokens)
        .with("ledgerSeq", ledgerSeq)
        .with("closed", closed ? 1 : 0);
  }
}
