package io.mothrill.lab.scenario;

/** Thrown when an expectation of a scenario is not met. */
public final class ScenarioFailure extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private ScenarioFailure(String message) {
    super(message);
  }

  /**
   * Creates the failure of an expectation.
   *
   * @param step the expectation
   * @param actual the value found instead
   * @return the failure
   */
  public static ScenarioFailure unmet(Step step, String actual) {
    return new ScenarioFailure(
        "line "
            + step.line()
            + ": expected "
            + String.join(" ", step.words())
            + ", but found "
            + actual);
  }
}
