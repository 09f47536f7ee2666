package io.mothrill.core.budget;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;

/**
 * A budget as the platform's table holds it.
 *
 * @param paidTokens the sum of all top-ups
 * @param allottedTokens what open allotments were granted and closed ones were billed; at most
 *     {@code paidTokens}
 */
public record BudgetRow(long paidTokens, long allottedTokens) {

  /** Refuses rows that would allow overspending. */
  public BudgetRow {
    if (allottedTokens < 0 || allottedTokens > paidTokens) {
      throw new IllegalArgumentException(
          "allotted " + allottedTokens + " tokens must lie between 0 and paid " + paidTokens);
    }
  }

  /**
   * Reads a budget.
   *
   * @param row the row; may be absent
   * @return the budget
   */
  public static BudgetRow of(Row row) {
    return new BudgetRow(row.cells().number("paid"), row.cells().number("allotted"));
  }

  /**
   * Says how much may still be granted.
   *
   * @return tokens that no allotment holds
   */
  public long freeTokens() {
    return paidTokens - allottedTokens;
  }

  /**
   * Grants tokens, or takes them back when negative.
   *
   * @param tokens how many
   * @return a copy with the new sum
   */
  public BudgetRow allot(long tokens) {
    return new BudgetRow(paidTokens, allottedTokens + tokens);
  }

  /**
   * Writes the budget.
   *
   * @return the row's cells
   */
  public Cells toCells() {
    return Cells.empty().with("paid", paidTokens).with("allotted", allottedTokens);
  }
}
