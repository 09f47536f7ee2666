package io.mothrill.core.budget;

/**
 * Names an allotment: one incarnation's share of one budget.
 *
 * @param incarnation the incarnation that the platform granted it to
 * @param budget the budget's name
 */
public record AllotmentId(String incarnation, String budget) {

  /**
   * Reads an id.
   *
   * @param text what {@link #toString()} gave
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
