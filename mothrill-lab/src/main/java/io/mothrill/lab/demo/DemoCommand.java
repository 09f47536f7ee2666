package io.mothrill.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.audit.AuditReport;
import io.mothrill.core.audit.Auditor;
import io.mothrill.daemon.cli.Command;
import io.mothrill.lab.load.Call;
import io.mothrill.lab.load.CallResult;
import io.mothrill.lab.load.CheckingCaller;
import io.mothrill.lab.load.Latencies;
import io.mothrill.lab.load.Schedule;
import io.mothrill.lab.standin.EngineServer;
import io.mothrill.lab.standin.EngineSettings;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.ResponseAggregator;
import io.mothrill.wire.json.Json;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * {@code mothrill demo}: serves calls over HTTP through two entry instances and checks the results.
 *
 * <p>All printed figures are counted: answers by the callers, tokens by the engines and bills in
 * the platform's ledger. The command fails if a check fails.
 */
public final class DemoCommand implements Command {

  private static final String MODEL = "asistan";
  private static final String TICKETS = "sira";
  private static final String BRANCH = "branch";
  private static final String HALL = "hall";
  private static final String SMALL = "small";
  private static final int URGENT_CALLS = 200;
  private static final int LONG_CALLS = 24;
  private static final int TICKET_CALLS = 50;
  private static final long DRAIN_ANNOUNCE_MS = 300;

  private final List<String> broken = new ArrayList<>();

  @Override
  public int run() {
    EngineSettings engine = EngineSettings.small();
    JsonNode drain = Json.object().put("announceMs", DRAIN_ANNOUNCE_MS);
    try (DemoFloor floor = new DemoFloor(2, 2, engine, Map.of("drain", drain))) {
      declare(floor, engine);
      List<CallResult> results = new ArrayList<>();
      Schedule schedule = new Schedule(new CheckingCaller(floor.http()));
      final List<CompletableFuture<CallResult>> longCalls =
          schedule.start(DemoCommand::longCall, LONG_CALLS, 200, round(floor, 2));
      List<CallResult> urgent =
          schedule.run(DemoCommand::urgentCall, URGENT_CALLS, 100, round(floor, 2));
      results.addAll(topUp(floor, schedule));
      results.addAll(urgent);
      final int ticketsServed = callTickets(floor);
      AtomicBoolean drained = new AtomicBoolean();
      floor.instances().get(0).drain().thenRun(() -> drained.set(true));
      List<CallResult> late =
          schedule.run(number -> urgentCall(1_000 + number), 40, 40, () -> floor.caller(1));
      List<CallResult> batch = Schedule.join(longCalls);
      results.addAll(late);
      results.addAll(batch);
      awaitBills(floor, drained);
      report(floor, results, urgent, batch, ticketsServed, drained.get());
    }
    broken.forEach(promise -> System.out.println("BROKEN " + promise));
    System.out.println(broken.isEmpty() ? "all promises held" : "a promise broke");
    return broken.isEmpty() ? OK : FAILED;
  }

  private static void declare(DemoFloor floor, EngineSettings engine) {
    List.of(BRANCH, HALL, SMALL).forEach(floor::declareTeam);
    floor.declareBudget(BRANCH + "-2026", BRANCH, 1_000_000);
    floor.declareBudget(HALL + "-2026", HALL, 1_000_000);
    floor.declareBudget(SMALL + "-2026", SMALL, 600);
    floor.declareModel(MODEL, engine);
    floor.declareTickets(TICKETS);
    floor.awaitConfig();
  }

  private static Supplier<Address> round(DemoFloor floor, int instances) {
    AtomicInteger next = new AtomicInteger();
    return () -> floor.caller(next.getAndIncrement() % instances);
  }

  private static Call longCall(int number) {
    String prompt = "summarise the passbook of saver " + number + " " + "entry ".repeat(200);
    return new Call(
        BRANCH, DemoFloor.keyOf(BRANCH), MODEL, prompt, 600, true, "batch", "summary-" + number);
  }

  private static Call urgentCall(int number) {
    String prompt = "counter reply " + number + " [tokens=12]";
    return new Call(HALL, DemoFloor.keyOf(HALL), MODEL, prompt, 32, true, "urgent", "");
  }

  private static Call smallCall(int number) {
    String prompt = "small question " + number;
    return new Call(SMALL, DemoFloor.keyOf(SMALL), MODEL, prompt, 100, false, "urgent", "");
  }

  /** Spends a small budget until a call is refused, tops it up and checks that calls are served. */
  private List<CallResult> topUp(DemoFloor floor, Schedule schedule) {
    List<CallResult> results = new ArrayList<>();
    CallResult last = null;
    for (int number = 0; number < 20 && (last == null || last.isServed()); number++) {
      int call = number;
      last = schedule.run(index -> smallCall(call), 1, 100, () -> floor.caller(0)).get(0);
      results.add(last);
    }
    expect("a spent budget refuses with 402", last.status() == 402);
    floor.declareBudget(SMALL + "-2026", SMALL, 600, 500);
    CallResult after = schedule.run(index -> smallCall(99), 1, 100, () -> floor.caller(1)).get(0);
    results.add(after);
    expect("a topped-up budget serves again", after.isServed());
    System.out.println(
        "top-up: "
            + (results.size() - 2)
            + " calls served, then 402, then served after the top-up");
    return results.stream().filter(CallResult::isServed).collect(Collectors.toList());
  }

  /** Sends each ticket twice under its key and checks that the service runs it once. */
  private int callTickets(DemoFloor floor) {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int number = 0; number < TICKET_CALLS; number++) {
      replies.add(callTicket(floor, number, 0));
      replies.add(callTicket(floor, number, 1));
    }
    replies.forEach(CompletableFuture::join);
    Map<String, Integer> served = floor.plain().served();
    expect(
        "each ticket is called exactly once",
        served.size() == TICKET_CALLS && served.values().stream().allMatch(count -> count == 1));
    expect(
        "both callers of a ticket get its answer",
        replies.stream().map(CompletableFuture::join).allMatch(HttpReply::isSuccess));
    return served.size();
  }

  private static CompletableFuture<HttpReply> callTicket(
      DemoFloor floor, int number, int instance) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + DemoFloor.keyOf(HALL));
    headers.set("idempotency-key", "ticket-" + number);
    return ResponseAggregator.of(
        floor.http(),
        floor.caller(instance),
        HttpMethod.POST,
        "/services/" + TICKETS + "/call",
        headers,
        ("ticket " + number).getBytes(StandardCharsets.UTF_8),
        30_000);
  }

  private static void awaitBills(DemoFloor floor, AtomicBoolean drained) {
    for (int tries = 0; tries < 200; tries++) {
      boolean posted =
          floor.instances().stream()
              .allMatch(
                  instance ->
                      instance.node().budgets().bills().pendingCount() == 0
                          && instance.node().records().unconfirmedCount() == 0);
      if (posted && drained.get()) {
        return;
      }
      DemoFloor.pause(50);
    }
  }

  private void report(
      DemoFloor floor,
      List<CallResult> results,
      List<CallResult> urgent,
      List<CallResult> batch,
      int ticketsServed,
      boolean drained) {
    long whole = results.stream().filter(CallResult::isServed).count();
    System.out.println("requests: " + results.size() + " answered whole and checked: " + whole);
    expect("every caller got its own whole answer", whole == results.size());
    results.stream().filter(result -> !result.isServed()).limit(5).forEach(System.out::println);
    expect("no stream was cut off by the drain, and the drain ended", drained);
    System.out.println(
        "tickets: " + ticketsServed + " called, each by two callers with the same key");
    System.out.println("urgent first byte: " + Latencies.of(urgent, CallResult::firstByteMs));
    System.out.println("batch whole answer: " + Latencies.of(batch, CallResult::lastByteMs));
    long generated = floor.engines().values().stream().mapToLong(EngineServer::tokens).sum();
    System.out.println("tokens generated by the engines: " + generated);
    reportBills(floor, results, ticketsServed);
  }

  private void reportBills(DemoFloor floor, List<CallResult> results, int ticketsServed) {
    AuditReport audit = new Auditor(floor.platform().table()).audit().join();
    Map<String, Long> counted =
        results.stream()
            .collect(
                Collectors.groupingBy(
                    result -> result.call().team() + "-2026",
                    Collectors.summingLong(CallResult::billableTokens)));
    counted.merge(HALL + "-2026", (long) ticketsServed, Long::sum);
    audit
        .budgets()
        .forEach(
            (budget, sums) -> {
              long expected = counted.getOrDefault(budget, 0L);
              System.out.println(
                  "budget "
                      + budget
                      + ": paid "
                      + sums.paidTokens()
                      + ", billed "
                      + sums.billedTokens()
                      + ", counted by callers "
                      + expected);
              expect("billed equals counted for " + budget, sums.billedTokens() == expected);
              expect(budget + " is not overspent", sums.billedTokens() <= sums.paidTokens());
            });
    System.out.println("requests billed: " + audit.billedRequestCount());
    expect(
        "each request has one bill", audit.billedRequestCount() == results.size() + ticketsServed);
    audit.findings().forEach(finding -> expect("audit: " + finding, false));
  }

  private void expect(String promise, boolean held) {
    if (!held) {
      broken.add(promise);
    }
  }
}
