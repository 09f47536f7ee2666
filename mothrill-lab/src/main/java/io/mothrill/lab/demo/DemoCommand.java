package io.mothrill.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.audit.AuditReport;
import io.mothrill.core.audit.Auditor;
import io.mothrill.daemon.cli.Command;
import io.mothrill.lab.load.Call;
import io.mothrill.lab.load.CallResult;
import io.mothrill.lab.load.CheckingCaller;
import io.mothrill.lab.load.Latencies;
import io.mothrill.lab.load.OpenLoopSender;
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

  private final List<String> failedChecks = new ArrayList<>();

  @Override
  public int run() {
    EngineSettings engine = EngineSettings.small();
    JsonNode drain = Json.object().put("announceMs", DRAIN_ANNOUNCE_MS);
    try (DemoCluster cluster = new DemoCluster(2, 2, engine, Map.of("drain", drain))) {
      declare(cluster, engine);
      List<CallResult> results = new ArrayList<>();
      OpenLoopSender sender = new OpenLoopSender(new CheckingCaller(cluster.http()));
      final List<CompletableFuture<CallResult>> longCalls =
          sender.start(DemoCommand::longCall, LONG_CALLS, 200, roundRobin(cluster, 2));
      List<CallResult> urgent =
          sender.run(DemoCommand::urgentCall, URGENT_CALLS, 100, roundRobin(cluster, 2));
      results.addAll(spendAndTopUp(cluster, sender));
      results.addAll(urgent);
      final int ticketsServed = sendTickets(cluster);
      AtomicBoolean drained = new AtomicBoolean();
      cluster.instances().get(0).drain().thenRun(() -> drained.set(true));
      List<CallResult> late =
          sender.run(number -> urgentCall(1_000 + number), 40, 40, () -> cluster.callerAddress(1));
      List<CallResult> batch = OpenLoopSender.join(longCalls);
      results.addAll(late);
      results.addAll(batch);
      awaitBills(cluster, drained);
      report(cluster, results, urgent, batch, ticketsServed, drained.get());
    }
    failedChecks.forEach(check -> System.out.println("BROKEN " + check));
    System.out.println(failedChecks.isEmpty() ? "all promises held" : "a promise broke");
    return failedChecks.isEmpty() ? OK : FAILED;
  }

  private static void declare(DemoCluster cluster, EngineSettings engine) {
    List.of(BRANCH, HALL, SMALL).forEach(cluster::declareTeam);
    cluster.declareBudget(BRANCH + "-2026", BRANCH, 1_000_000);
    cluster.declareBudget(HALL + "-2026", HALL, 1_000_000);
    cluster.declareBudget(SMALL + "-2026", SMALL, 600);
    cluster.declareModel(MODEL, engine);
    cluster.declarePlainService(TICKETS);
    cluster.awaitConfig();
  }

  private static Supplier<Address> roundRobin(DemoCluster cluster, int instances) {
    AtomicInteger next = new AtomicInteger();
    return () -> cluster.callerAddress(next.getAndIncrement() % instances);
  }

  private static Call longCall(int number) {
    String prompt = "summarise the passbook of saver " + number + " " + "entry ".repeat(200);
    return new Call(
        BRANCH,
        DemoCluster.apiKeyOf(BRANCH),
        MODEL,
        prompt,
        600,
        true,
        "batch",
        "summary-" + number);
  }

  private static Call urgentCall(int number) {
    String prompt = "counter reply " + number + " [tokens=12]";
    return new Call(HALL, DemoCluster.apiKeyOf(HALL), MODEL, prompt, 32, true, "urgent", "");
  }

  private static Call smallCall(int number) {
    String prompt = "small question " + number;
    return new Call(SMALL, DemoCluster.apiKeyOf(SMALL), MODEL, prompt, 100, false, "urgent", "");
  }

  /** Spends a small budget until a call is refused, tops it up and checks that calls are served. */
  private List<CallResult> spendAndTopUp(DemoCluster cluster, OpenLoopSender sender) {
    List<CallResult> results = new ArrayList<>();
    CallResult last = null;
    for (int number = 0; number < 20 && (last == null || last.isServed()); number++) {
      int call = number;
      last = sender.run(index -> smallCall(call), 1, 100, () -> cluster.callerAddress(0)).get(0);
      results.add(last);
    }
    check("a spent budget refuses with 402", last.status() == 402);
    cluster.declareBudget(SMALL + "-2026", SMALL, 600, 500);
    CallResult after =
        sender.run(index -> smallCall(99), 1, 100, () -> cluster.callerAddress(1)).get(0);
    results.add(after);
    check("a topped-up budget serves again", after.isServed());
    System.out.println(
        "top-up: "
            + (results.size() - 2)
            + " calls served, then 402, then served after the top-up");
    return results.stream().filter(CallResult::isServed).collect(Collectors.toList());
  }

  /** Sends each ticket twice under its key and checks that the service runs it once. */
  private int sendTickets(DemoCluster cluster) {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int number = 0; number < TICKET_CALLS; number++) {
      replies.add(sendTicket(cluster, number, 0));
      replies.add(sendTicket(cluster, number, 1));
    }
    replies.forEach(CompletableFuture::join);
    Map<String, Integer> served = cluster.plainService().served();
    check(
        "each ticket is called exactly once",
        served.size() == TICKET_CALLS && served.values().stream().allMatch(count -> count == 1));
    check(
        "both callers of a ticket get its answer",
        replies.stream().map(CompletableFuture::join).allMatch(HttpReply::isSuccess));
    return served.size();
  }

  private static CompletableFuture<HttpReply> sendTicket(
      DemoCluster cluster, int number, int instance) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + DemoCluster.apiKeyOf(HALL));
    headers.set("idempotency-key", "ticket-" + number);
    return ResponseAggregator.of(
        cluster.http(),
        cluster.callerAddress(instance),
        HttpMethod.POST,
        "/services/" + TICKETS + "/call",
        headers,
        ("ticket " + number).getBytes(StandardCharsets.UTF_8),
        30_000);
  }

  private static void awaitBills(DemoCluster cluster, AtomicBoolean drained) {
    for (int attempt = 0; attempt < 200; attempt++) {
      boolean posted =
          cluster.instances().stream()
              .allMatch(
                  instance ->
                      instance.node().budgets().bills().pendingCount() == 0
                          && instance.node().records().unconfirmedCount() == 0);
      if (posted && drained.get()) {
        return;
      }
      DemoCluster.sleep(50);
    }
  }

  private void report(
      DemoCluster cluster,
      List<CallResult> results,
      List<CallResult> urgent,
      List<CallResult> batch,
      int ticketsServed,
      boolean drained) {
    long whole = results.stream().filter(CallResult::isServed).count();
    System.out.println("requests: " + results.size() + " answered whole and checked: " + whole);
    check("every caller got its own whole answer", whole == results.size());
    results.stream().filter(result -> !result.isServed()).limit(5).forEach(System.out::println);
    check("no stream was cut off by the drain, and the drain ended", drained);
    System.out.println(
        "tickets: " + ticketsServed + " called, each by two callers with the same key");
    System.out.println("urgent first byte: " + Latencies.of(urgent, CallResult::firstByteMs));
    System.out.println("batch whole answer: " + Latencies.of(batch, CallResult::lastByteMs));
    long generated = cluster.engines().values().stream().mapToLong(EngineServer::tokens).sum();
    System.out.println("tokens generated by the engines: " + generated);
    reportBills(cluster, results, ticketsServed);
  }

  private void reportBills(DemoCluster cluster, List<CallResult> results, int ticketsServed) {
    AuditReport audit = new Auditor(cluster.platform().table()).audit().join();
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
              check("billed equals counted for " + budget, sums.billedTokens() == expected);
              check(budget + " is not overspent", sums.billedTokens() <= sums.paidTokens());
            });
    System.out.println("requests billed: " + audit.billedRequestCount());
    check(
        "each request has one bill", audit.billedRequestCount() == results.size() + ticketsServed);
    audit.findings().forEach(finding -> check("audit: " + finding, false));
  }

  private void check(String description, boolean held) {
    if (!held) {
      failedChecks.add(description);
    }
  }
}
