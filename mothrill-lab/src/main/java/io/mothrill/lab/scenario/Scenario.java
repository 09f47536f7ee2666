package io.mothrill.lab.scenario;

import io.mothrill.core.error.InvalidInputException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * A scenario: a sequence of steps that run on an in-memory fleet.
 *
 * <p>The language has one step per line; {@code docs/SCENARIOS.md} lists the steps.
 *
 * <pre>{@code
 * Scenario.parse(text).run(42);
 * }</pre>
 */
public final class Scenario {

  private static final Map<String, StepAction> ACTIONS = Actions.all();

  private final List<Step> steps;

  private Scenario(List<Step> steps) {
    this.steps = List.copyOf(steps);
  }

  /** The action of one kind of step. */
  interface StepAction {

    void run(ScenarioRun run, Step step);
  }

  /**
   * Parses a scenario.
   *
   * @param text the text of the scenario
   * @return the scenario
   * @throws InvalidInputException if a line is invalid; the error names the line
   */
  public static Scenario parse(String text) {
    List<String> lines = text.lines().toList();
    List<Step> steps =
        IntStream.range(0, lines.size())
            .mapToObj(index -> Step.parse(index + 1, lines.get(index)))
            .flatMap(Optional::stream)
            .toList();
    steps.stream()
        .filter(step -> !ACTIONS.containsKey(step.command()))
        .findFirst()
        .ifPresent(
            step -> {
              throw step.invalid("is not a step");
            });
    return new Scenario(steps);
  }

  /**
   * Runs the scenario.
   *
   * @param seed the seed of all random choices
   * @throws ScenarioFailure if an expectation is not met
   */
  public void run(long seed) {
    ScenarioRun run = new ScenarioRun(seed);
    steps.forEach(step -> ACTIONS.get(step.command()).run(run, step));
  }

  /**
   * Runs the scenario and counts the outcomes of the calls of a load.
   *
   * @param seed the seed of all random choices
   * @param load the name of the load
   * @return the counts
   */
  public ScenarioCount runAndCount(long seed, String load) {
    ScenarioRun run = new ScenarioRun(seed);
    steps.forEach(step -> ACTIONS.get(step.command()).run(run, step));
    Map<String, Long> states = Expectations.statesOf(run, load);
    long runMoreThanOnce =
        run.calls().ofLoad(load).stream()
            .filter(call -> Expectations.runsOf(run, call) > 1)
            .count();
    return new ScenarioCount(
        run.calls().ofLoad(load).size(),
        states.getOrDefault("served", 0L),
        runMoreThanOnce,
        states);
  }

  /**
   * Returns the number of expectations.
   *
   * @return the number of {@code expect} steps
   */
  public long expectationCount() {
    return steps.stream().filter(step -> step.command().equals("expect")).count();
  }
}
