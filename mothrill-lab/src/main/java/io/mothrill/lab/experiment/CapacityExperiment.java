package io.mothrill.lab.experiment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import io.mothrill.lab.fleet.Fleet;
import io.mothrill.lab.fleet.FleetNode;
import io.mothrill.wire.json.Json;
import java.lang.management.ManagementFactory;
import java.util.List;

/**
 * Measures the cost of coordination for a node and the platform, by number of instances, budgets
 * and upstreams.
 *
 * <p>Each line measures one in-memory fleet over 2 minutes of simulated time. Processor time is
 * that of the whole process divided by nodes and seconds, so it includes the fakes; the marginal
 * cost follows from the differences between lines.
 */
final class CapacityExperiment implements Experiment {

  private static final long MEASURED_S = 120;
  private static final long SECOND_MS = 1_000;
  private static final long WARM_UP_MS = 60_000;
  private static final int DOMAINS = 3;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final double BYTES_PER_KB = 1_024;

  /** The size of the fleet in one line. */
  private record FleetSize(int nodes, int budgets, int activeBudgets, int upstreams) {}

  private static final List<FleetSize> SIZES =
      List.of(
          new FleetSize(6, 0, 0, 0),
          new FleetSize(24, 0, 0, 0),
          new FleetSize(48, 0, 0, 0),
          new FleetSize(96, 0, 0, 0),
          new FleetSize(6, 1_000, 0, 0),
          new FleetSize(6, 100, 100, 0),
          new FleetSize(6, 400, 400, 0),
          new FleetSize(24, 400, 400, 0),
          new FleetSize(6, 0, 0, 1_000));

  @Override
  public ObjectNode run() {
    ObjectNode figures = Json.object();
    ArrayNode lines = figures.putArray("lines");
    System.out.printf(
        "%6s %8s %8s %10s %12s %12s %12s %14s %10s%n",
        "nodes", "budgets", "active", "upstreams", "messages", "reads", "writes", "cpu us", "KB");
    System.out.println("(messages, reads, writes and cpu are per node and second; KB per node)");
    SIZES.forEach(size -> lines.add(measure(size)));
    return figures;
  }

  private static ObjectNode measure(FleetSize size) {
    final long memoryBefore = usedBytes();
    Fleet fleet = start(size);
    fleet.advanceMs(WARM_UP_MS);
    spend(fleet, size, WARM_UP_MS / SECOND_MS);
    final long messages = fleet.messageCount();
    final long reads = fleet.table().readCount();
    final long writes = fleet.table().writeCount();
    double cpuBefore = cpuNanos();
    spend(fleet, size, MEASURED_S);
    final double perNodeSecond = (double) size.nodes() * MEASURED_S;
    ObjectNode line =
        Json.object()
            .put("nodes", size.nodes())
            .put("budgets", size.budgets())
            .put("activeBudgets", size.activeBudgets())
            .put("upstreams", size.upstreams())
            .put("messages", (fleet.messageCount() - messages) / perNodeSecond)
            .put("reads", (fleet.table().readCount() - reads) / perNodeSecond)
            .put("writes", (fleet.table().writeCount() - writes) / perNodeSecond)
            .put("cpuMicros", (cpuNanos() - cpuBefore) / NANOS_PER_MICRO / perNodeSecond)
            .put("kilobytesPerNode", (usedBytes() - memoryBefore) / BYTES_PER_KB / size.nodes());
    print(line);
    return line;
  }

  private static void print(ObjectNode line) {
    System.out.printf(
        "%6d %8d %8d %10d %12.2f %12.2f %12.3f %14.1f %10.0f%n",
        line.get("nodes").asInt(),
        line.get("budgets").asInt(),
        line.get("activeBudgets").asInt(),
        line.get("upstreams").asInt(),
        line.get("messages").asDouble(),
        line.get("reads").asDouble(),
        line.get("writes").asDouble(),
        line.get("cpuMicros").asDouble(),
        line.get("kilobytesPerNode").asDouble());
  }

  private static Fleet start(FleetSize size) {
    Fleet fleet = new Fleet(NodeSettings.standard(), 1);
    for (int node = 0; node < size.nodes(); node++) {
      fleet.start("n-" + node, "domain-" + node % DOMAINS);
    }
    fleet.declare("team", new TeamSpec(List.of(), 1));
    for (int budget = 0; budget < size.budgets(); budget++) {
      List<TopUp> paid = List.of(new TopUp("t", 100_000_000));
      fleet.declare("b" + budget, new BudgetSpec("team", List.of(), paid));
    }
    if (size.upstreams() > 0) {
      fleet.declare(
          "asistan", new ServiceSpec(ServiceType.MODEL, Priority.URGENT, true, 100, 1, 60_000));
    }
    for (int upstream = 0; upstream < size.upstreams(); upstream++) {
      fleet.declare(
          "e" + upstream,
          new UpstreamSpec("asistan", "10.0.0.1", 1 + upstream, "domain-0", 16, false));
    }
    return fleet;
  }

  /** Spends from every active budget at every node once per second. */
  private static void spend(Fleet fleet, FleetSize size, long seconds) {
    for (long second = 0; second < seconds; second++) {
      for (int budget = 0; budget < size.activeBudgets(); budget++) {
        String name = "b" + budget;
        String run = "run-" + second + "-" + budget + "-";
        fleet.nodes().forEach(node -> spendOnce(node, name, run));
      }
      fleet.advanceMs(SECOND_MS);
    }
  }

  private static void spendOnce(FleetNode node, String budget, String run) {
    var unused =
        node.node()
            .budgets()
            .account(budget)
            .reserve(100)
            .thenAccept(
                reservation ->
                    reservation
                        .settle(50)
                        .forEach(
                            part -> {
                              String id = run + node.record().id();
                              LedgerEntry bill = new LedgerEntry(id, "team/" + id, part.tokens());
                              var posted =
                                  node.node().budgets().bills().add(part.allotment(), bill);
                              posted.exceptionally(error -> null);
                            }))
            .exceptionally(error -> null);
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double cpuNanos() {
    var system = ManagementFactory.getOperatingSystemMXBean();
    return system instanceof com.sun.management.OperatingSystemMXBean known
        ? known.getProcessCpuTime()
        : 0;
  }
}
