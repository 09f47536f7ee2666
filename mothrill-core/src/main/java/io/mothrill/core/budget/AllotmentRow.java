package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;

/**
 * An allotment as stored in the platform's table: the tokens of one budget that one incarnation may
 * spend.
 *
 * <p>All numbers are cumulative, so a holder that lost a response learns the outcome from the row.
 *
 * @param grantedTokens tokens granted and not returned
 * @param billedTokens tokens billed by ledger batches; at most {@code grantedTokens}
 * @param ledgerSeq the number of ledger batches
 * @param closed true once the remaining tokens have been reclaimed; a closed allotment accepts no
 *     bills
 */
public record AllotmentRow(long grantedTokens, long billedTokens, long ledgerSeq, boolean closed) {

  /** Rejects values that would allow overspending. */
  public AllotmentRow {
    if (billedTokens < 0 || billedTokens > grantedTokens) {
      throw new IllegalArgumentException(
          "billed " + billedTokens + " tokens must lie between 0 and granted " + grantedTokens);
    }
  }

  /**
   * Creates an allotment from its row.
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
   * Adds to the granted tokens.
   *
   * @param tokens the tokens to add; negative when they are returned
   * @return a copy with the new amount
   */
  public AllotmentRow grant(long tokens) {
    return new AllotmentRow(grantedTokens + tokens, billedTokens, ledgerSeq, closed);
  }

  /**
   * Adds a ledger batch.
   *
   * @param tokens the sum of its bills
   * @return a copy with the batch added
   */
  public AllotmentRow bill(long tokens) {
    return new AllotmentRow(grantedTokens, billedTokens + tokens, ledgerSeq + 1, closed);
  }

  /**
   * Closes the allotment.
   *
   * @return a copy that accepts no further bills
   */
  public AllotmentRow close() {
    return new AllotmentRow(grantedTokens, billedTokens, ledgerSeq, true);
  }

  /**
   * Returns the tokens that are granted and not yet billed.
   *
   * @return tokens that are held, reserved or used but not yet billed
   */
  public long unbilledTokens() {
    return grantedTokens - billedTokens;
  }

  /**
   * Converts the allotment to cells.
   *
   * @return the cells of its row
   */
  public Cells toCells() {
    return Cells.empty()
        .with("granted", grantedTokens)
        .with("billed", billedTokens)
        .with("ledgerSeq", ledgerSeq)
        .with("closed", closed ? 1 : 0);
  }
}
