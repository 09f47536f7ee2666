package io.mothrill.lab.scenario;

import io.mothrill.core.error.InvalidInputException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * A scenario: steps that are done to a fleet in memory, one after the other.
 *
 * <p>The language has one step a line; {@code docs/SCENARIOS.md} lists the steps.
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

  /** What one kind of step does. */
  interface StepAction {

    void run(ScenarioRun run, Step step);
  }

  /**
   * Reads a scenario.
   *
   * @param text its lines
   * @return the scenario
   * @throws InvalidInputException naming the line that is wrong
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
              throw step.wrong("is not a step");
            });
    return new Scenario(steps);
  }

  /**
   * Runs the scenario.
   *
   * @param seed makes every random choice
   * @throws ScenarioFailure when an expectation did not hold
   */
  public void run(long seed) {
    ScenarioRun run = new ScenarioRun(seed);
    steps.forEach(step -> ACTIONS.get(step.command()).run(run, step));
  }

  /**
   * Runs the scenario and counts what came of a load.
   *
   * @param seed makes every random choice
   * @param load the load's name
   * @return the counts
   */
  public ScenarioCount runAndCount(long seed, String load) {
    ScenarioRun run = new ScenarioRun(seed);
    steps.forEach(step -> ACTIONS.get(step.command()).run(run, step));
    Map<String, Long> states = Expectations.statesOf(run, load);
    long runTwice =
        run.calls().ofLoad(load).stream()
            .filter(made -> Expectations.runsOf(run, made) > 1)
            .count();
    return new ScenarioCount(
        run.calls().ofLoad(load).size(), states.getOrDefault("served", 0L), runTwice, states);
  }

  /**
   * Counts the expectations.
   *
   * @return steps that check something
   */
  public long expectationCount() {
    return steps.stream().filter(step -> step.command().equals("expect")).count();
  }
}
