package io.mothrill.core.budget.error;

import io.mothrill.core.error.ErrorMessage;

/** A budget has no room for a request. */
public record BudgetExhausted(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param budget the budget's name
   * @param needTokens what the request may use at most
   * @return the message
   */
  public static BudgetExhausted budgetExhausted(String budget, long needTokens) {
    return new BudgetExhausted(
        "budget " + budget + " has no room for the " + needTokens + " tokens this may use");
  }

  @Override
  public String code() {
    return "budget_exhausted";
  }
}
