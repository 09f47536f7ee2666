package io.mothrill.core.budget.error;

import io.mothrill.core.error.ErrorMessage;

/** The message for a budget whose tokens are currently out of reach. */
public record BudgetOutOfReach(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param budget the budget's name
   * @param needTokens the maximum number of tokens that the request may use
   * @return the message
   */
  public static BudgetOutOfReach budgetOutOfReach(String budget, long needTokens) {
    return new BudgetOutOfReach(
        "the "
            + needTokens
            + " tokens this may use of budget "
            + budget
            + " are out of reach for now");
  }

  @Override
  public String code() {
    return "budget_out_of_reach";
  }
}
