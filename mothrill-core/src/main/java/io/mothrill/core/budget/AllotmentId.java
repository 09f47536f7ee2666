package io.mothrill.core.budget;

/**
 * Identifies an allotment, which is one incarnation's share of one budget.
 *
 * @param incarnation the incarnation to which the platform granted it
 * @param budget the budget's name
 */
public record AllotmentId(String incarnation, String budget) {

  /**
   * Parses an id.
   *
   * @param text the output of {@link #toString()}
   * @return the id
   */
  public static AllotmentId parse(String text) {
    int slash = text.indexOf('/');
    if (slash <= 0) {
      throw new IllegalArgumentException("not an allotment id: " + text);
    }
    return new AllotmentId(text.substring(0, slash), text.substring(slash + 1));
  }

  @Override
  public String toString() {
    return incarnation + "/" + budget;
  }
}
