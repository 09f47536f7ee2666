package io.mothrill.lab.explore;

import io.mothrill.core.fake.Fault;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.request.CallRequest;
import io.mothrill.core.request.NotRun;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.TeamKey;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import io.mothrill.lab.fleet.Fleet;
import io.mothrill.lab.fleet.MemoryCaller;
import io.mothrill.lab.fleet.Network;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A randomized test run: a seed determines the sequence of calls and faults, and invariants are
 * checked at the end.
 *
 * <pre>{@code
 * List<String> broken = new Exploration(seed, FaultMix.WITH_DEATHS).run(200);
 * }</pre>
 */
public final class Exploration {

  private static final List<String> IDS =
      List.of("ankara-a-1", "ankara-a-2", "ankara-b-1", "konya-1", "konya-2");
  private static final List<String> DOMAINS = List.of("ankara-a", "ankara-b", "konya");
  private static final List<String> ENGINES = List.of("e1", "e2");
  private static final List<Fault> PLATFORM_FAULTS = List.of(Fault.values());
  private static final String TICKETS = "t1";
  private static final String SECRET = "secret";
  private static final long HEAL_MS = 120_000;
  private static final int KEYS = 40;

  private final Random random;
  private final FaultMix mix;
  private final Fleet fleet;
  private final List<Made> made = new ArrayList<>();
  private final List<TopUp> topUps = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private Fault platformFault = Fault.NONE;
  private int callCount;

  /**
   * Creates a run.
   *
   * @param seed the seed of all random choices
   * @param mix the kinds of faults to inject
   */
  public Exploration(long seed, FaultMix mix) {
    this.random = new Random(seed);
    this.mix = mix;
    this.fleet = new Fleet(NodeSettings.standard(), seed);
  }

  private record Made(Optional<String> key, String body, boolean sole, MemoryCaller caller) {

    boolean isUnknown() {
      return caller.key().isEmpty();
    }

    String billedKey() {
      return "team/" + caller.key();
    }
  }

  /**
   * Runs random steps, ends all faults and checks the invariants.
   *
   * @param steps the number of steps
   * @return the violations; empty if all invariants hold
   */
  public List<String> run(int steps) {
    declare();
    for (int step = 0; step < steps; step++) {
      step();
    }
    healAll();
    return check();
  }

  /**
   * Returns the log of the run.
   *
   * @return one line per step
   */
  public List<String> log() {
    return List.copyOf(log);
  }

  private void declare() {
    IDS.forEach(id -> fleet.start(id, domainOf(id)));
    fleet.declare("team", new TeamSpec(List.of(TeamKey.hash("salt", SECRET)), 1));
    topUp(5_000);
    declareService("asistan", ServiceType.MODEL, true);
    declareService("sira", ServiceType.PLAIN, false);
    ENGINES.forEach(name -> declareUpstream(name, "asistan"));
    declareUpstream(TICKETS, "sira");
    fleet.advanceMs(3_000);
  }

  private static String domainOf(String id) {
    return id.substring(0, id.lastIndexOf('-'));
  }

  private void declareService(String name, ServiceType type, boolean repeatable) {
    fleet.declare(name, new ServiceSpec(type, Priority.URGENT, repeatable, 100, 1, 30_000));
  }

  private void declareUpstream(String name, String service) {
    String domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
    fleet.declare(name, new UpstreamSpec(service, name, 1, domain, 32, false));
  }

  private void topUp(long tokens) {
    topUps.add(new TopUp("topup-" + topUps.size(), tokens));
    fleet.declare("budget", new BudgetSpec("team", List.of(), topUps));
  }

  private void step() {
    int dice = random.nextInt(100);
    if (dice < 55) {
      call();
    } else if (dice < 75) {
      note("advance", String.valueOf(advance()));
    } else if (dice < 78 && platformFault == Fault.NONE) {
      topUp(500);
      note("top-up", "500");
    } else {
      fault(dice);
    }
  }

  private long advance() {
    long durationMs = 1L << random.nextInt(14);
    fleet.advanceMs(durationMs);
    return durationMs;
  }

  private void fault(int dice) {
    String id = IDS.get(random.nextInt(IDS.size()));
    String domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
    if (dice < 82) {
      String other = random.nextBoolean() ? Network.PLATFORM : "ankara-a";
      toggleCut(domain, other);
    } else if (dice < 85) {
      fleet.network().healAll();
      note("heal", "all");
    } else if (dice < 88) {
      toggleFreeze(id);
    } else if (dice < 92) {
      platformFault = PLATFORM_FAULTS.get(random.nextInt(PLATFORM_FAULTS.size()));
      fleet.failPlatform(platformFault);
      note("platform", platformFault.name());
    } else if (dice < 95) {
      failEngine();
    } else if (mix == FaultMix.WITH_DEATHS) {
      replace(id);
    }
  }

  private void toggleCut(String domain, String other) {
    if (!domain.equals(other)) {
      fleet.network().cut(domain, other);
      note("cut", domain + " " + other);
    }
  }

  private void toggleFreeze(String id) {
    if (random.nextBoolean()) {
      fleet.node(id).freeze();
      note("freeze", id);
    } else {
      fleet.node(id).thaw();
      note("thaw", id);
    }
  }

  private void failEngine() {
    String name = ENGINES.get(random.nextInt(ENGINES.size()));
    if (random.nextBoolean()) {
      fleet.upstream(name).kill();
    } else {
      fleet.upstream(name).restart();
    }
    note("engine", name);
  }

  private void replace(String id) {
    fleet.node(id).kill();
    fleet.advanceMs(random.nextInt(2_000));
    fleet.start(id, domainOf(id));
    note("replace", id);
  }

  private void call() {
    boolean sole = random.nextInt(4) == 0;
    switch (random.nextInt(4)) {
      case 0 -> callOnce(sole, Optional.empty(), "call once-" + callCount);
      case 1 -> repeatMinted();
      default -> {
        String key = (sole ? "ticket-" : "key-") + random.nextInt(KEYS);
        callOnce(sole, Optional.of(key), "call " + key);
      }
    }
  }

  /** Repeats a call that was sent without a key, under the key generated for it. */
  private void repeatMinted() {
    List<Made> told =
        made.stream().filter(call -> call.key().isEmpty() && !call.isUnknown()).toList();
    if (!told.isEmpty()) {
      Made first = told.get(random.nextInt(told.size()));
      callOnce(first.sole(), Optional.of(first.caller().key()), first.body());
    }
  }

  private void callOnce(boolean sole, Optional<String> key, String body) {
    String id = IDS.get(random.nextInt(IDS.size()));
    made.add(new Made(key, body, sole, fleet.call(id, request(key, body, sole))));
    callCount++;
    note("call", id + " " + body);
  }

  private static CallRequest request(Optional<String> key, String body, boolean sole) {
    return new CallRequest(
        "team." + SECRET,
        sole ? ServiceType.PLAIN : ServiceType.MODEL,
        sole ? "sira" : "asistan",
        key,
        Optional.empty(),
        sole,
        Optional.empty(),
        10,
        OptionalLong.of(40),
        false,
        "",
        body,
        "POST",
        "/",
        "text/plain",
        cap -> body.getBytes(StandardCharsets.UTF_8),
        new byte[0]);
  }

  private void note(String what, String detail) {
    log.add(fleet.timers().nowMs() + "ms " + what + " " + detail);
  }

  private void healAll() {
    fleet.network().healAll();
    fleet.failPlatform(Fault.NONE);
    ENGINES.forEach(name -> fleet.upstream(name).restart());
    fleet.nodes().forEach(node -> node.thaw());
    fleet.advanceMs(HEAL_MS);
  }

  private List<String> check() {
    List<String> broken = new ArrayList<>(fleet.audit().findings());
    made.forEach(call -> checkAnswer(call, broken));
    checkRuns(broken);
    if (mix == FaultMix.WITHOUT_DEATHS) {
      checkEveryoneBilled(broken);
    }
    return broken;
  }

  private static void checkAnswer(Made call, List<String> broken) {
    String state = call.caller().state();
    if (state.equals("served") && !call.caller().body().equals("answer to " + call.body())) {
      broken.add("a caller of " + call.body() + " got another answer: " + call.caller().body());
    }
    if (state.equals("waiting")) {
      broken.add("a caller of " + call.body() + " still waits");
    }
  }

  private void checkRuns(List<String> broken) {
    Map<String, List<Made>> byBody = new LinkedHashMap<>();
    made.forEach(call -> byBody.computeIfAbsent(call.body(), body -> new ArrayList<>()).add(call));
    byBody.forEach(
        (body, calls) -> {
          long runs = fleet.upstreams().stream().mapToLong(upstream -> upstream.runsOf(body)).sum();
          if (calls.get(0).sole() && runs > 1) {
            broken.add(body + " may run once, but ran " + runs + " times");
          }
          if (runs > 0 && calls.stream().allMatch(Exploration::saidNotRun)) {
            broken.add(body + " ran, though all its callers were told that it did not");
          }
        });
  }

  private static boolean saidNotRun(Made call) {
    return call.caller().refusal().filter(refusal -> refusal.notRun() == NotRun.TRUE).isPresent();
  }

  private void checkEveryoneBilled(List<String> broken) {
    Set<String> billed = fleet.audit().billedKeys();
    made.stream()
        .filter(call -> call.caller().state().equals("served"))
        .map(Made::billedKey)
        .distinct()
        .filter(key -> !billed.contains(key))
        .forEach(key -> broken.add(key + " was served, but not billed; " + openBills()));
  }

  private String openBills() {
    return fleet.nodes().stream()
        .map(
            node ->
                node.record().id()
                    + " unconfirmed="
                    + node.node().records().unconfirmedCount()
                    + " pending="
                    + node.node().budgets().bills().pendingCount())
        .collect(Collectors.joining(", "));
  }

  /**
   * Returns the number of calls sent.
   *
   * @return the number of calls
   */
  public int callCount() {
    return callCount;
  }

  /**
   * Returns the number of calls served.
   *
   * @return the number of calls with a complete answer
   */
  public long servedCount() {
    return made.stream().filter(call -> call.caller().state().equals("served")).count();
  }
}
