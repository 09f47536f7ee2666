package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;

/**
 * A budget as stored in the platform's table.
 *
 * @param paidTokens the sum of all top-ups
 * @param allottedTokens the tokens granted to open allotments plus those billed to closed ones; at
 *     most {@code paidTokens}
 */
public record BudgetRow(long paidTokens, long allottedTokens) {

  /** Rejects values that would allow overspending. */
  public BudgetRow {
    if (allottedTokens < 0 || allottedTokens > paidTokens) {
      throw new IllegalArgumentException(
          "allotted " + allottedTokens + " tokens must lie between 0 and paid " + paidTokens);
    }
  }

  /**
   * Creates a budget from its row.
   *
   * @param row the row; may be absent
   * @return the budget
   */
  public static BudgetRow of(Row row) {
    return new BudgetRow(row.cells().number("paid"), row.cells().number("allotted"));
  }

  /**
   * Returns the tokens that may still be granted.
   *
   * @return the tokens that no allotment holds
   */
  public long freeTokens() {
    return paidTokens - allottedTokens;
  }

  /**
   * Adds tokens to the allotted sum.
   *
   * @param tokens the tokens to add; negative when they are returned
   * @return a copy with the new sum
   */
  public BudgetRow allot(long tokens) {
    return new BudgetRow(paidTokens, allottedTokens + tokens);
  }

  /**
   * Converts the budget to cells.
   *
   * @return the cells of its row
   */
  public Cells toCells() {
    return Cells.empty().with("paid", paidTokens).with("allotted", allottedTokens);
  }
}
