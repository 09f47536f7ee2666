package io.mothrill.core.budget.error;

import io.mothrill.core.error.ErrorMessage;

/** The message for a budget that has too few tokens left for a request. */
public record BudgetExhausted(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param budget the budget's name
   * @param needTokens the maximum number of tokens that the request may use
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
