package io.mothrill.core.error;

/**
 * An error message: a stable code for programs and a text for people.
 *
 * <p>Each kind of error has its own class with a static factory, for example {@code
 * BudgetExhausted.budgetExhausted("eu-1", 500)}.
 */
public interface ErrorMessage {

  /**
   * Returns the stable error code.
   *
   * @return lower-case words joined by underscores
   */
  String code();

  /**
   * Returns the human-readable text.
   *
   * @return one sentence that states what was wrong
   */
  String text();
}
