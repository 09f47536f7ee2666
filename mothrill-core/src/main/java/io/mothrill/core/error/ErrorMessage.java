package io.mothrill.core.error;

/**
 * What an error says: a stable code for programs and a text for people.
 *
 * <p>Each kind of error has a class of its own with a static factory, for example {@code
 * BudgetExhausted.budgetExhausted("eu-1", 500)}.
 */
public interface ErrorMessage {

  /**
   * Gives the code that callers may rely on.
   *
   * @return lower case words joined by underscores
   */
  String code();

  /**
   * Gives the text for people.
   *
   * @return one sentence that names what was wrong
   */
  String text();
}
