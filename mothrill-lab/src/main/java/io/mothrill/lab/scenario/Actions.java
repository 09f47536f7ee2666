package io.mothrill.lab.scenario;

import io.mothrill.core.fake.Fault;
import io.mothrill.core.request.CallRequest;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import io.mothrill.lab.fleet.Fleet;
import io.mothrill.lab.fleet.MemoryUpstream;
import io.mothrill.lab.scenario.Scenario.StepAction;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The actions of the scenario language, by command. */
final class Actions {

  private static final long SETTLE_MS = 3_000;

  private Actions() {}

  static Map<String, StepAction> all() {
    Map<String, StepAction> actions = new HashMap<>();
    actions.put("settings", ScenarioRun::configure);
    actions.put("expect", Expectations::check);
    actions.put(
        "advance", (run, step) -> run.fleet().advanceMs(step.parseDurationMs(step.word(0))));
    addResources(actions);
    addProcesses(actions);
    addFailures(actions);
    actions.put("call", Actions::call);
    actions.put("load", Actions::load);
    return Map.copyOf(actions);
  }

  private static void addResources(Map<String, StepAction> actions) {
    actions.put("team", Actions::declareTeam);
    actions.put("budget", Actions::declareBudget);
    actions.put("service", Actions::declareService);
    actions.put("upstream", Actions::declareUpstream);
  }

  private static void addProcesses(Map<String, StepAction> actions) {
    actions.put("start", (run, step) -> run.fleet().start(step.word(0), step.word(1)));
    actions.put("settle", (run, step) -> run.fleet().advanceMs(SETTLE_MS));
    actions.put("kill", (run, step) -> run.fleet().node(step.word(0)).kill());
    actions.put("freeze", (run, step) -> run.fleet().node(step.word(0)).suspend());
    actions.put("thaw", (run, step) -> run.fleet().node(step.word(0)).resume());
    actions.put("drain", (run, step) -> run.fleet().node(step.word(0)).node().drain());
  }

  private static void addFailures(Map<String, StepAction> actions) {
    actions.put("cut", (run, step) -> run.fleet().network().partition(step.word(0), step.word(1)));
    actions.put("heal", Actions::heal);
    actions.put("platform", (run, step) -> run.fleet().setPlatformFault(fault(step, step.word(0))));
    actions.put("way", Actions::failPlatformAccess);
    actions.put("engine", Actions::failEngine);
  }

  private static void declareTeam(ScenarioRun run, Step step) {
    TeamSpec spec = new TeamSpec(List.of(TeamKey.hash("salt", Calls.SECRET)), 1);
    run.fleet().declare(step.word(0), spec);
  }

  /** Top-ups are written {@code id:tokens}; a repeated declaration adds top-ups to the budget. */
  private static void declareBudget(ScenarioRun run, Step step) {
    String budget = step.word(0);
    List<String> topUps = run.topUpsOf(budget);
    topUps.addAll(Arrays.asList(step.option("topup").split(",", -1)));
    List<TopUp> specs = topUps.stream().map(text -> topUp(step, text)).toList();
    run.fleet().declare(budget, new BudgetSpec(step.option("team", "team"), List.of(), specs));
  }

  private static TopUp topUp(Step step, String text) {
    int colon = text.indexOf(':');
    return new TopUp(text.substring(0, colon), step.parseNumber(text.substring(colon + 1)));
  }

  private static void declareService(ScenarioRun run, Step step) {
    boolean plain = step.hasWord("plain");
    ServiceSpec spec =
        new ServiceSpec(
            plain ? ServiceType.PLAIN : ServiceType.MODEL,
            Priority.URGENT,
            !step.hasWord("unrepeatable"),
            step.number("cap", 1_000),
            step.number("cost", 1),
            step.durationMs("timeout", 60_000));
    run.fleet().declare(step.word(0), spec);
  }

  private static void declareUpstream(ScenarioRun run, Step step) {
    String name = step.word(0);
    UpstreamSpec spec =
        new UpstreamSpec(
            step.option("service"),
            name,
            1,
            step.option("domain"),
            (int) step.number("slots", 64),
            step.hasWord("leaving"));
    run.fleet().declare(name, spec);
    MemoryUpstream upstream = run.fleet().upstream(name);
    upstream.setWorkMs(step.durationMs("work", 200));
  }

  private static void heal(ScenarioRun run, Step step) {
    if (step.words().isEmpty()) {
      run.fleet().network().healAll();
    } else {
      run.fleet().network().heal(step.word(0), step.word(1));
    }
  }

  private static Fault fault(Step step, String word) {
    return switch (word) {
      case "up" -> Fault.NONE;
      case "down" -> Fault.DOWN;
      case "answers-lost" -> Fault.ANSWER_LOST;
      default -> throw step.invalid("knows up, down and answers-lost");
    };
  }

  private static void failPlatformAccess(ScenarioRun run, Step step) {
    run.fleet().node(step.word(0)).platformFaults().setFault(fault(step, step.word(1)));
  }

  private static void failEngine(ScenarioRun run, Step step) {
    MemoryUpstream upstream = run.fleet().upstream(step.word(0));
    switch (step.word(1)) {
      case "kill" -> upstream.kill();
      case "restart" -> upstream.restart();
      case "silent" -> upstream.stopResponding();
      case "leave" -> upstream.startLeaving();
      default -> throw step.invalid("knows kill, restart, silent and leave");
    }
  }

  private static void call(ScenarioRun run, Step step) {
    sendCall(run, step, step.word(0), step.option("name"));
  }

  private static void sendCall(ScenarioRun run, Step step, String instance, String name) {
    CallRequest request = Calls.request(step, name);
    run.calls().add(name, Calls.bodyOf(step, name), run.fleet().call(instance, request));
  }

  /** Sends calls at a constant rate, round robin to the named instances. */
  private static void load(ScenarioRun run, Step step) {
    Fleet fleet = run.fleet();
    List<String> instances = List.of(step.option("at").split(",", -1));
    long everyMs = step.durationMs("every", 1_000);
    long count = step.durationMs("for", 60_000) / everyMs;
    for (int number = 0; number < count; number++) {
      String instance = instances.get(number % instances.size());
      if (!fleet.node(instance).isKilled()) {
        sendCall(run, step, instance, step.option("name") + "." + number);
      }
      fleet.advanceMs(everyMs);
    }
  }
}
