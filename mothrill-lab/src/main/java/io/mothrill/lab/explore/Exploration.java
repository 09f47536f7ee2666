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
 * List<String> violations = new Exploration(seed, FaultMix.WITH_DEATHS).run(200);
 * }</pre>
 */
public final class Exploration {

  private static final List<String> IDS =
      List.of("ankara-a-1", "ankara-a-2", "ankara-b-1", "konya-1", "konya-2");
  private static final List<String> DOMAINS = List.of("ankara-a", "ankara-b", "konya");
  private static final List<String> ENGINES = List.of("e1", "e2");
  private static final List<Fault> PLATFORM_FAULTS = List.of(Fault.values());
  private static final String TICKET_UPSTREAM = "t1";
  private static final String SECRET = "secret";
  private static final long RECOVERY_MS = 120_000;
  private static final int KEYS = 40;

  private final Random random;
  private final FaultMix mix;
  private final Fleet fleet;
  private final List<SentCall> sentCalls = new ArrayList<>();
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

  private record SentCall(
      Optional<String> key, String body, boolean nonIdempotent, MemoryCaller caller) {

    boolean isKeyUnknown() {
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
    declareUpstream(TICKET_UPSTREAM, "sira");
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
      logStep("advance", String.valueOf(advance()));
    } else if (dice < 78 && platformFault == Fault.NONE) {
      topUp(500);
      logStep("top-up", "500");
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
      partition(domain, other);
    } else if (dice < 85) {
      fleet.network().healAll();
      logStep("heal", "all");
    } else if (dice < 88) {
      suspendOrResume(id);
    } else if (dice < 92) {
      platformFault = PLATFORM_FAULTS.get(random.nextInt(PLATFORM_FAULTS.size()));
      fleet.setPlatformFault(platformFault);
      logStep("platform", platformFault.name());
    } else if (dice < 95) {
      failEngine();
    } else if (mix == FaultMix.WITH_DEATHS) {
      replace(id);
    }
  }

  private void partition(String domain, String other) {
    if (!domain.equals(other)) {
      fleet.network().partition(domain, other);
      logStep("cut", domain + " " + other);
    }
  }

  private void suspendOrResume(String id) {
    if (random.nextBoolean()) {
      fleet.node(id).suspend();
      logStep("freeze", id);
    } else {
      fleet.node(id).resume();
      logStep("thaw", id);
    }
  }

  private void failEngine() {
    String name = ENGINES.get(random.nextInt(ENGINES.size()));
    if (random.nextBoolean()) {
      fleet.upstream(name).kill();
    } else {
      fleet.upstream(name).restart();
    }
    logStep("engine", name);
  }

  private void replace(String id) {
    fleet.node(id).kill();
    fleet.advanceMs(random.nextInt(2_000));
    fleet.start(id, domainOf(id));
    logStep("replace", id);
  }

  private void call() {
    boolean nonIdempotent = random.nextInt(4) == 0;
    switch (random.nextInt(4)) {
      case 0 -> sendCall(nonIdempotent, Optional.empty(), "call once-" + callCount);
      case 1 -> repeatUnderGeneratedKey();
      default -> {
        String key = (nonIdempotent ? "ticket-" : "key-") + random.nextInt(KEYS);
        sendCall(nonIdempotent, Optional.of(key), "call " + key);
      }
    }
  }

  /** Repeats a call that was sent without a key, under the key generated for it. */
  private void repeatUnderGeneratedKey() {
    List<SentCall> candidates =
        sentCalls.stream().filter(call -> call.key().isEmpty() && !call.isKeyUnknown()).toList();
    if (!candidates.isEmpty()) {
      SentCall first = candidates.get(random.nextInt(candidates.size()));
      sendCall(first.nonIdempotent(), Optional.of(first.caller().key()), first.body());
    }
  }

  private void sendCall(boolean nonIdempotent, Optional<String> key, String body) {
    String id = IDS.get(random.nextInt(IDS.size()));
    sentCalls.add(
        new SentCall(key, body, nonIdempotent, fleet.call(id, request(key, body, nonIdempotent))));
    callCount++;
    logStep("call", id + " " + body);
  }

  private static CallRequest request(Optional<String> key, String body, boolean nonIdempotent) {
    return new CallRequest(
        "team." + SECRET,
        nonIdempotent ? ServiceType.PLAIN : ServiceType.MODEL,
        nonIdempotent ? "sira" : "asistan",
        key,
        Optional.empty(),
        nonIdempotent,
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

  private void logStep(String what, String detail) {
    log.add(fleet.timers().nowMs() + "ms " + what + " " + detail);
  }

  private void healAll() {
    fleet.network().healAll();
    fleet.setPlatformFault(Fault.NONE);
    ENGINES.forEach(name -> fleet.upstream(name).restart());
    fleet.nodes().forEach(node -> node.resume());
    fleet.advanceMs(RECOVERY_MS);
  }

  private List<String> check() {
    List<String> violations = new ArrayList<>(fleet.audit().findings());
    sentCalls.forEach(call -> checkAnswer(call, violations));
    checkRuns(violations);
    if (mix == FaultMix.WITHOUT_DEATHS) {
      checkServedCallsBilled(violations);
    }
    return violations;
  }

  private static void checkAnswer(SentCall call, List<String> violations) {
    String state = call.caller().state();
    if (state.equals("served") && !call.caller().body().equals("answer to " + call.body())) {
      violations.add("a caller of " + call.body() + " got another answer: " + call.caller().body());
    }
    if (state.equals("waiting")) {
      violations.add("a caller of " + call.body() + " still waits");
    }
  }

  private void checkRuns(List<String> violations) {
    Map<String, List<SentCall>> byBody = new LinkedHashMap<>();
    sentCalls.forEach(
        call -> byBody.computeIfAbsent(call.body(), body -> new ArrayList<>()).add(call));
    byBody.forEach(
        (body, calls) -> {
          long runs = fleet.upstreams().stream().mapToLong(upstream -> upstream.runsOf(body)).sum();
          if (calls.get(0).nonIdempotent() && runs > 1) {
            violations.add(body + " may run once, but ran " + runs + " times");
          }
          if (runs > 0 && calls.stream().allMatch(Exploration::reportedNotRun)) {
            violations.add(body + " ran, though all its callers were told that it did not");
          }
        });
  }

  private static boolean reportedNotRun(SentCall call) {
    return call.caller().refusal().filter(refusal -> refusal.notRun() == NotRun.TRUE).isPresent();
  }

  private void checkServedCallsBilled(List<String> violations) {
    Set<String> billed = fleet.audit().billedKeys();
    sentCalls.stream()
        .filter(call -> call.caller().state().equals("served"))
        .map(SentCall::billedKey)
        .distinct()
        .filter(key -> !billed.contains(key))
        .forEach(key -> violations.add(key + " was served, but not billed; " + pendingBills()));
  }

  private String pendingBills() {
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
    return sentCalls.stream().filter(call -> call.caller().state().equals("served")).count();
  }
}
