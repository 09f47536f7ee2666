package io.mothrill.core.budget.error;

import io.mothrill.core.error.ErrorMessage;

/** Thrown when tokens could not be reserved. */
public final class BudgetException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient ErrorMessage message;
  private final boolean exhausted;

  private BudgetException(ErrorMessage message, boolean exhausted) {
    super(message.text());
    this.message = message;
    this.exhausted = exhausted;
  }

  /**
   * Creates the error for a budget that has too few tokens left.
   *
   * @param message the message, which contains the budget's name
   * @return the error
   */
  public static BudgetException exhausted(BudgetExhausted message) {
    return new BudgetException(message, true);
  }

  /**
   * Creates the error for a budget whose tokens are out of reach, so that it is unknown whether
   * enough are left.
   *
   * @param message the message, which contains the budget's name
   * @return the error
   */
  public static BudgetException outOfReach(BudgetOutOfReach message) {
    return new BudgetException(message, false);
  }

  /**
   * Returns the error code, which is stable for callers.
   *
   * @return the code
   */
  public String code() {
    return message.code();
  }

  /**
   * Checks whether the budget is known to have too few tokens left.
   *
   * @return false when its tokens are out of reach
   */
  public boolean isExhausted() {
    return exhausted;
  }
}
