package io.mothrill.lab.scenario;

/** Something that a scenario expects did not hold. */
public final class ScenarioFailure extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private ScenarioFailure(String message) {
    super(message);
  }

  /**
   * An expectation did not hold.
   *
   * @param step the expectation
   * @param actual what was found instead
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
