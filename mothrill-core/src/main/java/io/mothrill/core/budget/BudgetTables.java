package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import java.util.Locale;

/**
 * The tables and keys under which budgets, allotments, leases and the ledger are stored on the
 * platform.
 */
public final class BudgetTables {

  /** Allotments, by allotment id. */
  public static final String ALLOTMENTS = "allotments";

  /** Ledger batches, by allotment id and sequence number. */
  public static final String LEDGER = "ledger";

  /** Leases of instances, by incarnation. */
  public static final String LEASES = "leases";

  /** Budgets, by name. */
  public static final String BUDGETS = "budgets";

  /** Bills that arrived after their allotment was closed, by allotment id and request id. */
  public static final String LATE_BILLS = "late-bills";

  /** Top-ups, by budget and id. */
  public static final String TOP_UPS = "top-ups";

  private static final String TOKENS = "tokens";

  private BudgetTables() {}

  /**
   * Returns the key of a budget's row.
   *
   * @param budget the budget's name
   * @return the key
   */
  public static RowKey budget(String budget) {
    return new RowKey(BUDGETS, budget);
  }

  /**
   * Returns the key of a top-up's row.
   *
   * @param budget the budget's name
   * @param id the top-up's id
   * @return the key
   */
  public static RowKey topUp(String budget, String id) {
    return new RowKey(TOP_UPS, budget + "/" + id);
  }

  /**
   * Creates the cells of a top-up.
   *
   * @param tokens the number of tokens paid for
   * @return the cells
   */
  public static Cells topUpCells(long tokens) {
    return Cells.empty().with(TOKENS, tokens);
  }

  /**
   * Returns the tokens of a top-up.
   *
   * @param row the top-up's row
   * @return the number of tokens that it added
   */
  public static long topUpTokens(Row row) {
    return row.cells().number(TOKENS);
  }

  /**
   * Adds paid tokens to a budget.
   *
   * @param row the row of the budget, as read
   * @param tokens the number of tokens in new top-ups
   * @return the new cells of the budget
   */
  public static Cells addPaid(Row row, long tokens) {
    BudgetRow budget = BudgetRow.of(row);
    return new BudgetRow(Math.addExact(budget.paidTokens(), tokens), budget.allottedTokens())
        .toCells();
  }

  /**
   * Returns the key of an allotment's row.
   *
   * @param allotmentId the allotment's id
   * @return the key
   */
  public static RowKey allotment(String allotmentId) {
    return new RowKey(ALLOTMENTS, allotmentId);
  }

  /**
   * Returns the key of a ledger batch.
   *
   * @param allotmentId the allotment whose tokens the bills used
   * @param seq the sequence number of the batch, starting at 1
   * @return the key
   */
  public static RowKey ledger(String allotmentId, long seq) {
    return new RowKey(LEDGER, ledgerKey(allotmentId, seq));
  }

  static String ledgerKey(String allotmentId, long seq) {
    return allotmentId + "/" + String.format(Locale.ROOT, "%012d", seq);
  }

  /**
   * Returns the key of an instance's lease.
   *
   * @param incarnation the incarnation of the instance
   * @return the key
   */
  public static RowKey lease(String incarnation) {
    return new RowKey(LEASES, incarnation);
  }
}
