package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import java.util.Locale;

/** Where budgets, allotments, leases and the ledger lie in the platform's table. */
public final class BudgetTables {

  /** Allotments, by allotment id. */
  public static final String ALLOTMENTS = "allotments";

  /** Ledger batches, by allotment id and sequence number. */
  public static final String LEDGER = "ledger";

  /** Leases of instances, by incarnation. */
  public static final String LEASES = "leases";

  /** Budgets, by name. */
  public static final String BUDGETS = "budgets";

  /** Bills that came after their allotment was closed, by request id. */
  public static final String LATE_BILLS = "late-bills";

  /** Top-ups, by budget and id. */
  public static final String TOP_UPS = "top-ups";

  private static final String TOKENS = "tokens";

  private BudgetTables() {}

  /**
   * Gives the address of a budget's row.
   *
   * @param budget the budget's name
   * @return the address
   */
  public static RowKey budget(String budget) {
    return new RowKey(BUDGETS, budget);
  }

  /**
   * Gives the address of a top-up.
   *
   * @param budget the budget's name
   * @param id the top-up's id
   * @return the address
   */
  public static RowKey topUp(String budget, String id) {
    return new RowKey(TOP_UPS, budget + "/" + id);
  }

  /**
   * Makes the cells of a top-up.
   *
   * @param tokens how many tokens were paid for
   * @return the cells
   */
  public static Cells topUpCells(long tokens) {
    return Cells.empty().with(TOKENS, tokens);
  }

  /**
   * Reads a top-up.
   *
   * @param row the top-up's row
   * @return how many tokens it added
   */
  public static long topUpTokens(Row row) {
    return row.cells().number(TOKENS);
  }

  /**
   * Adds paid tokens to a budget.
   *
   * @param row the budget's row as read
   * @param tokens the tokens of new top-ups
   * @return the budget's new cells
   */
  public static Cells addPaid(Row row, long tokens) {
    BudgetRow budget = BudgetRow.of(row);
    return new BudgetRow(Math.addExact(budget.paidTokens(), tokens), budget.allottedTokens())
        .toCells();
  }

  /**
   * Gives the address of an allotment.
   *
   * @param allotmentId the allotment's id
   * @return the address
   */
  public static RowKey allotment(String allotmentId) {
    return new RowKey(ALLOTMENTS, allotmentId);
  }

  /**
   * Gives the address of a ledger batch.
   *
   * @param allotmentId the allotment that the bills draw on
   * @param seq the batch's sequence number, from 1
   * @return the address
   */
  public static RowKey ledger(String allotmentId, long seq) {
    return new RowKey(LEDGER, ledgerKey(allotmentId, seq));
  }

  static String ledgerKey(String allotmentId, long seq) {
    return allotmentId + "/" + String.format(Locale.ROOT, "%012d", seq);
  }

  /**
   * Gives the address of an instance's lease.
   *
   * @param incarnation the instance's incarnation
   * @return the address
   */
  public static RowKey lease(String incarnation) {
    return new RowKey(LEASES, incarnation);
  }
}
