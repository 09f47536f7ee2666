package io.mothrill.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.lab.demo.DemoCluster;
import io.mothrill.lab.load.Call;
import io.mothrill.lab.load.CallResult;
import io.mothrill.lab.load.CheckingCaller;
import io.mothrill.lab.load.Latencies;
import io.mothrill.lab.load.OpenLoopSender;
import io.mothrill.lab.standin.EngineSettings;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.json.Json;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Measures the overhead of an entry instance compared with direct calls to the engine. */
final class OverheadExperiment implements Experiment {

  private static final int ROUNDS = 6;
  private static final int CALLS = 1_000;
  private static final double PER_SECOND = 250;
  private static final String TEAM = "branch";
  private static final String MODEL = "asistan";
  private static final double NANOS_PER_SECOND = 1e9;

  @Override
  public ObjectNode run() {
    EngineSettings engine = new EngineSettings(512, 2, 4_096, 64, 100);
    try (DemoCluster cluster = new DemoCluster(1, 1, engine, Map.of())) {
      cluster.declareTeam(TEAM);
      cluster.declareBudget(TEAM, TEAM, 1_000_000_000L);
      cluster.declareModel(MODEL, engine);
      cluster.awaitConfig();
      return measure(cluster);
    }
  }

  private static ObjectNode measure(DemoCluster cluster) {
    OpenLoopSender sender = new OpenLoopSender(new CheckingCaller(cluster.http()));
    Address engine = new Address("127.0.0.1", cluster.engines().get("engine-1").port());
    List<CallResult> direct = new ArrayList<>();
    List<CallResult> routed = new ArrayList<>();
    double cpuNanos = 0;
    for (int round = 0; round < ROUNDS; round++) {
      boolean counted = round > 1;
      List<CallResult> directRound = calls(sender, engine, round);
      double before = instanceCpuNanos();
      List<CallResult> routedRound = calls(sender, cluster.callerAddress(0), round);
      if (counted) {
        cpuNanos += instanceCpuNanos() - before;
        direct.addAll(directRound);
        routed.addAll(routedRound);
      }
    }
    return report(direct, routed, cpuNanos / routed.size());
  }

  private static List<CallResult> calls(OpenLoopSender sender, Address to, int round) {
    return sender.run(
        number ->
            new Call(
                TEAM,
                DemoCluster.apiKeyOf(TEAM),
                MODEL,
                "question " + round + "." + number,
                8,
                true,
                "urgent",
                ""),
        CALLS,
        PER_SECOND,
        () -> to);
  }

  /** Returns the total processor time of the threads of the entry instance. */
  private static double instanceCpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
        .filter(Objects::nonNull)
        .filter(info -> info.getThreadName().startsWith("entry-1"))
        .mapToLong(ThreadInfo::getThreadId)
        .mapToDouble(threads::getThreadCpuTime)
        .sum();
  }

  private static ObjectNode report(
      List<CallResult> direct, List<CallResult> routed, double cpuNanosPerCall) {
    Latencies directMs = Latencies.of(direct, CallResult::firstByteMs);
    Latencies routedMs = Latencies.of(routed, CallResult::firstByteMs);
    long whole = routed.stream().filter(CallResult::isServed).count();
    double perCore = NANOS_PER_SECOND / cpuNanosPerCall;
    System.out.println("direct, first byte:  " + directMs);
    System.out.println("through, first byte: " + routedMs);
    System.out.println("through, whole:      " + Latencies.of(routed, CallResult::lastByteMs));
    System.out.printf("served whole: %d of %d%n", whole, routed.size());
    System.out.printf(
        "added to first byte: p50 %.2f ms, p99 %.2f ms%n",
        routedMs.p50Ms() - directMs.p50Ms(), routedMs.p99Ms() - directMs.p99Ms());
    System.out.printf(
        "processor time per request of 8 tokens: %.0f us, %.0f requests per second and core%n",
        cpuNanosPerCall / 1_000, perCore);
    return Json.object()
        .put("directP50Ms", directMs.p50Ms())
        .put("directP99Ms", directMs.p99Ms())
        .put("throughP50Ms", routedMs.p50Ms())
        .put("throughP99Ms", routedMs.p99Ms())
        .put("cpuMicrosPerRequest", cpuNanosPerCall / 1_000)
        .put("requestsPerSecondAndCore", perCore);
  }
}
