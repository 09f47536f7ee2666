package io.mothrill.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.admission.ServiceAdmissions;
import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.capacity.EngineHoldings;
import io.mothrill.core.forward.contention.ContentionMonitor;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.path.PathFailure;
import io.mothrill.core.forward.path.RelayCandidates;
import io.mothrill.core.forward.path.UpstreamPaths;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.forward.prompt.EnginePools;
import io.mothrill.core.forward.prompt.PromptClass;
import io.mothrill.core.forward.prompt.PromptTracker;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.stream.StreamOrigins;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.ReadStats;
import io.mothrill.core.forward.view.ViewController;
import io.mothrill.core.forward.view.exchange.ViewExchange;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.daemon.log.JsonLinesWriter;
import io.mothrill.wire.forward.ForwardServer;
import io.mothrill.wire.relay.RelayAcceptor;
import java.util.Arrays;
import java.util.Set;

/** Registers gauges for the state of an instance and the age of its views. */
final class ForwardGauges {

  private static final long NANOS_PER_MS = 1_000_000;

  private final MetricRegistry metrics;

  ForwardGauges(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void registerView(
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<UpstreamList> upstreams,
      ViewController view,
      ViewExchange exchange) {
    metrics.gauge("view.planVersion", () -> () -> plan.read().version());
    metrics.gauge("view.planAgeMs", () -> () -> view.confirmedAgeMs(ViewTable.CONFIG));
    metrics.gauge("view.upstreamCount", () -> () -> upstreams.read().all().size());
    metrics.gauge("view.upstreamsAgeMs", () -> () -> view.confirmedAgeMs(ViewTable.UPSTREAMS));
    Arrays.stream(ViewTable.values())
        .forEach(table -> registerReads("view.reads." + table, view.readStats(table)));
    registerExchange(exchange);
  }

  private void registerExchange(ViewExchange exchange) {
    Arrays.stream(ViewTable.values())
        .forEach(
            table -> metrics.gauge("view.behindMs." + table, () -> () -> exchange.behindMs(table)));
    metrics.gauge("view.noticesSentCount", () -> () -> exchange.counts().noticesSent());
    metrics.gauge("view.noticesReceivedCount", () -> () -> exchange.counts().noticesReceived());
    metrics.gauge("view.tablesRequestedCount", () -> () -> exchange.counts().requested());
    metrics.gauge("view.tablesReceivedCount", () -> () -> exchange.counts().received());
    metrics.gauge("view.tablesFailedCount", () -> () -> exchange.counts().failed());
    metrics.gauge("view.tablesServedCount", () -> () -> exchange.counts().served());
    metrics.gauge("view.tablesDeclinedCount", () -> () -> exchange.counts().declined());
  }

  private void registerReads(String name, ReadStats stats) {
    metrics.gauge(name + ".answeredCount", () -> stats::answeredCount);
    metrics.gauge(name + ".failedCount", () -> stats::failedCount);
    metrics.gauge(name + ".pendingCount", () -> stats::pendingCount);
    metrics.gauge(name + ".postponedCount", () -> stats::postponedCount);
    metrics.gauge(name + ".longestMs", () -> stats::longestMs);
  }

  void registerServer(ForwardServer edge) {
    metrics.gauge("edge.underWayCount", () -> edge::inFlightCount);
    metrics.gauge("edge.waitingToStartCount", () -> edge::waitingToStartCount);
    metrics.gauge("edge.connectionCount", () -> edge::connectionCount);
  }

  /** Registers the budget gauges of each team, including teams that are added later. */
  void registerSpending(PublishedValue<ForwardingPlan> plan, SpendingController spending) {
    metrics.gauge("spending.instanceCount", () -> spending::instanceCount);
    metrics.gauge("spending.renewalAgeMs", () -> spending::renewalAgeMs);
    metrics.gauge("spending.lostTokens", () -> spending::lostTokens);
    metrics.gauge("spending.refusedCount", () -> spending::refusedCount);
    metrics.gauge(
        "spending.refusedThoughUnassignedCount", () -> spending::refusedThoughUnassignedCount);
    plan.subscribe(
        newest ->
            newest.teams().stream()
                .filter(team -> team.prepaidTokens().isPresent())
                .forEach(team -> registerTeam(team, plan, spending)));
  }

  private void registerTeam(
      TeamPlan team, PublishedValue<ForwardingPlan> plan, SpendingController spending) {
    String name = team.name();
    metrics.gauge("spending.heldTokens." + name, () -> () -> spending.heldTokens(name));
    metrics.gauge(
        "spending.unassignedTokens." + name,
        () -> () -> spending.unassignedTokens(plan.read().findTeam(name).orElse(team)));
  }

  /**
   * Registers gauges for upstreams with restricted traffic and for the reports exchanged about
   * them.
   */
  void registerUpstreams(PublishedValue<Set<String>> evacuatedDomains, UpstreamSelection choice) {
    metrics.gauge("upstreams.evacuatedDomainCount", () -> () -> evacuatedDomains.read().size());
    metrics.gauge("upstreams.warmingCount", () -> choice.warming()::warmingCount);
    metrics.gauge("upstreams.limitedCount", () -> choice.limits()::limitedCount);
    metrics.gauge("upstreams.limitedSentCount", () -> choice.limits()::sentCount);
    metrics.gauge("upstreams.saidLeavingCount", () -> choice.leaving()::leavingCount);
    metrics.gauge("upstreams.saidLeavingSentCount", () -> choice.leaving()::sentCount);
    metrics.gauge("upstreams.restingCount", () -> choice.resting()::backoffCount);
    metrics.gauge("upstreams.restingSentCount", () -> choice.resting()::sentCount);
    metrics.gauge("upstreams.brittleCount", () -> choice.rejectionBudgets()::brittleCount);
    metrics.gauge(
        "upstreams.brittleRejectionCount", () -> choice.rejectionBudgets()::rejectionCount);
    metrics.gauge("leases.grantedCount", () -> choice.leases()::grantedCount);
    metrics.gauge("leases.deniedCount", () -> choice.leases()::deniedCount);
    metrics.gauge("leases.coordinatedCount", () -> choice.leases()::coordinatedCount);
    metrics.gauge("upstreams.reportsSentCount", () -> choice.statusBroadcast()::sentCount);
    metrics.gauge("upstreams.reportsHeardCount", () -> choice.statusBroadcast()::receivedCount);
  }

  /** Registers gauges for the paths on which this instance has no contact to upstreams. */
  void registerPaths(UpstreamPaths paths, RelayCandidates relayedBy, RelayAcceptor relayedFor) {
    metrics.gauge("paths.brokenCount", () -> () -> paths.counts().broken());
    metrics.gauge("paths.relayedByOthersCount", () -> relayedBy::openCount);
    metrics.gauge("paths.relayedForOthersCount", () -> relayedFor::openCount);
    metrics.gauge("paths.relayedForOthersTotal", () -> relayedFor::acceptedCount);
    metrics.gauge("paths.failingCount", () -> () -> paths.counts().failing());
    Arrays.stream(PathFailure.values())
        .forEach(
            failure ->
                metrics.gauge(
                    "paths.failingCount." + failure,
                    () -> () -> paths.counts().byFailure().getOrDefault(failure, 0L)));
  }

  /** Registers gauges for the tokens that engines are asked to hold. */
  void registerHoldings(EngineHoldings holdings, Timers timers) {
    metrics.gauge("load.heldOwnTokens", () -> holdings::ownTokens);
    metrics.gauge("load.heldOthersTokens", () -> () -> holdings.othersTokens(timers.nowMs()));
    metrics.gauge("load.heldMaxTokens", () -> () -> holdings.maxTokens(timers.nowMs()));
  }

  /** Registers gauges for slow upstreams and the reports exchanged about them. */
  void registerContention(ContentionMonitor contention) {
    metrics.gauge("load.waitingUpstreamCount", () -> () -> contention.counts().waitingUpstreams());
    metrics.gauge("load.reportsSentCount", () -> () -> contention.counts().sent());
    metrics.gauge("load.reportsDroppedCount", () -> () -> contention.counts().dropped());
    metrics.gauge("load.reportsHeardCount", () -> () -> contention.counts().received());
    metrics.gauge("load.reportsIgnoredCount", () -> () -> contention.counts().ignored());
  }

  /** Registers gauges for requests suspected of crashing upstreams and the messages about them. */
  void registerCrashes(CrashGuard crashes) {
    metrics.gauge("crashes.suspectCount", () -> () -> crashes.counts().suspects());
    metrics.gauge("crashes.quarantinedCount", () -> () -> crashes.counts().quarantined());
    metrics.gauge("crashes.sentCount", () -> () -> crashes.counts().sent());
    metrics.gauge("crashes.receivedCount", () -> () -> crashes.counts().received());
    metrics.gauge("crashes.droppedCount", () -> () -> crashes.counts().dropped());
  }

  /** Registers gauges for the division of engines among short and long prompts. */
  void registerPromptPools(EnginePools pools, PromptTracker tracker) {
    metrics.gauge("load.trackedPromptCount", () -> tracker::sentCount);
    metrics.gauge("load.shortPoolCount", () -> () -> pools.engineCount(PromptClass.SHORT));
    metrics.gauge("load.longPoolCount", () -> () -> pools.engineCount(PromptClass.LONG));
    metrics.gauge("load.bulkPoolCount", () -> () -> pools.engineCount(PromptClass.BULK));
    metrics.gauge("load.poolChangeCount", () -> pools::changeCount);
  }

  /** Registers gauges for the work of the event loops and the CPU time of the threads. */
  void registerWork(WorkStats work) {
    Arrays.stream(WorkKind.values()).forEach(kind -> registerWork("work." + kind, kind, work));
    metrics.gauge("work.threadCpuMs", () -> ThreadCpuTime::totalCpuMs);
  }

  private void registerWork(String name, WorkKind kind, WorkStats work) {
    metrics.gauge(name + ".turnCount", () -> () -> work.totals(kind).turnCount());
    metrics.gauge(name + ".busyMs", () -> () -> work.totals(kind).busyNanos() / NANOS_PER_MS);
    metrics.gauge(name + ".openedCount", () -> () -> work.totals(kind).openedCount());
    metrics.gauge(name + ".receivedBytes", () -> () -> work.totals(kind).receivedBytes());
    metrics.gauge(name + ".sentBytes", () -> () -> work.totals(kind).sentBytes());
  }

  /** Registers gauges for requests that are refused because their service is full. */
  void registerAdmissions(ServiceAdmissions admissions) {
    metrics.gauge("load.limitedServiceCount", () -> () -> admissions.counts().limitedServices());
    metrics.gauge("load.overLimitCount", () -> () -> admissions.counts().overLimit());
    metrics.gauge("load.overShareCount", () -> () -> admissions.counts().overShare());
    metrics.gauge("load.turnedAwayCount", () -> () -> admissions.counts().turnedAway());
  }

  /** Registers gauges for the memory held for slow readers. */
  void registerBuffers(BufferBudget buffers) {
    metrics.gauge("load.bodyBytes", () -> buffers::bodyBytes);
    metrics.gauge("load.heldBytes", () -> buffers::heldBytes);
    metrics.gauge("load.pausedCount", () -> buffers::pausedCount);
    metrics.gauge("load.slowReaderCount", () -> buffers::abortedCount);
  }

  /** Registers gauges for the streams that callers take up again. */
  void registerStreams(StreamOrigins origins) {
    metrics.gauge("streams.recordedOriginCount", () -> origins::recordCount);
    metrics.gauge("streams.knownOriginCount", () -> origins::knownCount);
    metrics.gauge("streams.unknownOriginCount", () -> origins::unknownCount);
    metrics.gauge("streams.writtenOriginCount", () -> origins::writtenCount);
    metrics.gauge("streams.readOriginCount", () -> origins::readCount);
  }

  void registerLog() {
    metrics.gauge("log.droppedCount", () -> JsonLinesWriter::droppedCount);
  }
}
