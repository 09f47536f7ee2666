package io.mothrill.core.budget.error;

import io.mothrill.core.error.ErrorMessage;

/** Tokens could not be reserved. */
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
   * The budget has no room.
   *
   * @param message says which budget
   * @return the error
   */
  public static BudgetException exhausted(BudgetExhausted message) {
    return new BudgetException(message, true);
  }

  /**
   * It is not known whether the budget has room, because its tokens are out of reach.
   *
   * @param message says which budget
   * @return the error
   */
  public static BudgetException outOfReach(BudgetOutOfReach message) {
    return new BudgetException(message, false);
  }

  /**
   * Gives the code that callers may rely on.
   *
   * @return the code
   */
  public String code() {
    return message.code();
  }

  /**
   * Says whether the budget is known to have no room.
   *
   * @return false when its tokens are only out of reach
   */
  public boolean isExhausted() {
    return exhausted;
  }
}
