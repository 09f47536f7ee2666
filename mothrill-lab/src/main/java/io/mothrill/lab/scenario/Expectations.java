package io.mothrill.lab.scenario;

import io.mothrill.core.audit.AuditReport;
import io.mothrill.core.request.NotRun;
import io.mothrill.lab.fleet.MemoryCaller;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongBinaryOperator;
import java.util.stream.Collectors;

/** The checks of the {@code expect} step. */
final class Expectations {

  private static final Map<String, LongBinaryOperator> COMPARISONS =
      Map.of(
          "=", (left, right) -> left == right ? 1 : 0,
          ">=", (left, right) -> left >= right ? 1 : 0,
          "<=", (left, right) -> left <= right ? 1 : 0);

  private static final int SHOWN_FINDINGS = 3;

  private Expectations() {}

  static void check(ScenarioRun run, Step step) {
    switch (step.word(0)) {
      case "call" -> checkCall(run, step);
      case "notrun" -> checkNotRun(run, step);
      case "runs" -> compare(step, runsOf(run, run.calls().find(step, step.word(1))), 2);
      case "served" -> checkServed(run, step);
      case "audit" -> checkAudit(run, step);
      case "billed" -> compare(step, sums(run, step).billedTokens(), 2);
      case "held" -> compare(step, heldBy(run, step), 3);
      case "requests" -> compare(step, run.fleet().audit().billedRequestCount(), 1);
      case "revision" -> compare(step, revisionOf(run, step), 2);
      default -> throw step.invalid("does not know " + step.word(0));
    }
  }

  private static void compare(Step step, long actual, int index) {
    if (!holds(step, actual, index)) {
      throw ScenarioFailure.unmet(step, String.valueOf(actual));
    }
  }

  private static boolean holds(Step step, long actual, int index) {
    LongBinaryOperator comparison = COMPARISONS.get(step.word(index));
    if (comparison == null) {
      throw step.invalid("compares with =, >= or <=");
    }
    return comparison.applyAsLong(actual, step.parseNumber(step.word(index + 1))) != 0;
  }

  private static void checkCall(ScenarioRun run, Step step) {
    MemoryCaller caller = run.calls().find(step, step.word(1)).caller();
    if (!caller.state().equals(step.word(2))) {
      throw ScenarioFailure.unmet(step, caller.state());
    }
  }

  private static void checkNotRun(ScenarioRun run, Step step) {
    MemoryCaller caller = run.calls().find(step, step.word(1)).caller();
    String actual =
        caller
            .refusal()
            .map(refusal -> refusal.notRun())
            .map(NotRun::name)
            .map(name -> name.toLowerCase(Locale.ROOT))
            .orElse("no refusal");
    if (!actual.equals(step.word(2))) {
      throw ScenarioFailure.unmet(step, actual);
    }
  }

  /** Returns the number of runs of a call's body, over all upstreams. */
  static long runsOf(ScenarioRun run, Calls.SentCall call) {
    return run.fleet().upstreams().stream()
        .mapToLong(upstream -> upstream.runsOf(call.body()))
        .sum();
  }

  static Map<String, Long> statesOf(ScenarioRun run, String load) {
    return run.calls().ofLoad(load).stream()
        .collect(
            Collectors.groupingBy(
                call -> call.caller().state(), TreeMap::new, Collectors.counting()));
  }

  private static void checkServed(ScenarioRun run, Step step) {
    Map<String, Long> states = statesOf(run, step.word(1));
    if (!holds(step, states.getOrDefault("served", 0L), 2)) {
      throw ScenarioFailure.unmet(step, states.toString());
    }
  }

  private static void checkAudit(ScenarioRun run, Step step) {
    List<String> findings = run.fleet().audit().findings();
    if (!findings.isEmpty()) {
      String first = findings.stream().limit(SHOWN_FINDINGS).collect(Collectors.joining("; "));
      throw ScenarioFailure.unmet(step, findings.size() + " findings: " + first);
    }
  }

  private static AuditReport.Sums sums(ScenarioRun run, Step step) {
    Map<String, AuditReport.Sums> budgets = run.fleet().audit().budgets();
    if (!budgets.containsKey(step.word(1))) {
      String known = budgets.keySet().stream().collect(Collectors.joining(", "));
      throw step.invalid("there is no budget " + step.word(1) + " among " + known);
    }
    return budgets.get(step.word(1));
  }

  private static long heldBy(ScenarioRun run, Step step) {
    return run.fleet().node(step.word(1)).node().budgets().account(step.word(2)).availableTokens();
  }

  private static long revisionOf(ScenarioRun run, Step step) {
    return run.fleet().node(step.word(1)).node().config().read().revision();
  }
}
