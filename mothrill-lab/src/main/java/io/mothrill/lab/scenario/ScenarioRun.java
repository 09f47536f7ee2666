package io.mothrill.lab.scenario;

import io.mothrill.core.budget.BudgetSettings;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.lab.fleet.Fleet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The state of a scenario while it runs. */
final class ScenarioRun {

  private final long seed;
  private final Calls calls = new Calls();
  private final Map<String, List<String>> topUps = new HashMap<>();
  private NodeSettings settings = NodeSettings.standard();
  private Fleet fleet;

  ScenarioRun(long seed) {
    this.seed = seed;
  }

  Fleet fleet() {
    if (fleet == null) {
      fleet = new Fleet(settings, seed);
    }
    return fleet;
  }

  Calls calls() {
    return calls;
  }

  /** Changes the settings of the nodes, which is allowed only before the fleet is created. */
  void configure(Step step) {
    if (fleet != null) {
      throw step.invalid("must come before anything else");
    }
    BudgetSettings standard = settings.budgets();
    BudgetSettings budgets =
        new BudgetSettings(
            step.durationMs("lease", standard.leaseMs()),
            step.durationMs("margin", standard.marginMs()),
            step.durationMs("grace", standard.reclaimGraceMs()),
            step.durationMs("endurance", standard.enduranceMs()),
            step.durationMs("slice", standard.sliceMs()),
            step.number("divisor", standard.freeDivisor()),
            step.number("floor", standard.floorTokens()),
            step.durationMs("post", standard.postMs()));
    settings =
        new NodeSettings(
            budgets, settings.requests(), settings.queues(), settings.routing(), settings.drain());
  }

  /**
   * Returns the top-ups declared so far for a budget, because a declaration contains all of them.
   */
  List<String> topUpsOf(String budget) {
    return topUps.computeIfAbsent(budget, name -> new ArrayList<>());
  }
}
