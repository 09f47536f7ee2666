package io.mothrill.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.retry.SharedRetryBudget;
import io.mothrill.core.forward.spending.DemandSharePolicy;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.upstream.DomainReachability;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.core.forward.view.StatePoller;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.forward.ForwardDependencies;
import io.mothrill.wire.forward.ForwardServer;
import io.mothrill.wire.forward.UpstreamProbe;
import io.mothrill.wire.http.HttpServer;
import io.mothrill.wire.json.JsonResources;
import io.mothrill.wire.operator.ProbeService;
import io.mothrill.wire.peer.DatagramNotices;
import io.mothrill.wire.peer.NettyPeers;
import io.mothrill.wire.peer.NoticeListeners;
import io.mothrill.wire.peer.PeerDecoder;
import io.mothrill.wire.peer.PeerEncoder;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * One instance that forwards requests: decisions, the sockets around them, and how it leaves.
 *
 * <pre>{@code
 * ForwardInstance instance = new ForwardInstance(settings, ports, group, timers);
 * instance.leave().join();
 * instance.close();
 * }</pre>
 */
public final class ForwardInstance {

  /** Callers are sent elsewhere after two questions without a yes, which come every second. */
  private static final long MIN_DRAIN_MS = 2_600;

  private static final long LEAVE_CHECK_MS = 100;

  /**
   * Upstreams that had requests under way when they left the list are forgotten after those; a
   * request lasts seconds, and each of them takes some hundred bytes meanwhile.
   */
  private static final long PRUNE_INTERVAL_MS = 10_000;

  /** A few hundred bytes now and then: enough to see in a log what an instance was busy with. */
  private static final long WORK_LOG_INTERVAL_MS = 10_000;

  /** Time for the last row, after the last request. */
  private static final long HAND_BACK_TIMEOUT_MS = 300;

  private final ForwardSettings settings;
  private final Timers timers;
  private final PublishedValue<ForwardingPlan> plan =
      new PublishedValue<>(ForwardingPlan.unknown());
  private final PublishedValue<Set<String>> evacuatedDomains = new PublishedValue<>(Set.of());
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private final MetricRegistry metrics = new MetricRegistry();
  private final NettyPeers peers;
  private final DatagramNotices notices;
  private final SpendingController spending;
  private final Readiness readiness;
  private final ForwardServer edge;
  private final HttpServer probeServer;
  private final HttpServer metricsServer;
  private final CompletableFuture<Void> drainFuture = new CompletableFuture<>();
  private volatile boolean leaving;

  /**
   * Starts an instance.
   *
   * @param settings its settings
   * @param ports what it reaches the platform through
   * @param group the event loops
   * @param timers the time
   */
  public ForwardInstance(
      ForwardSettings settings, ForwardPorts ports, EventLoopGroup group, Timers timers) {
    this.settings = settings;
    this.timers = timers;
    RandomGenerator random = ThreadLocalRandom.current()::nextLong;
    PeerDispatcher dispatcher = new PeerDispatcher();
    this.peers = newPeers(settings, dispatcher, group, ports.work());
    InstanceRecord self =
        new InstanceRecord(
            settings.id(),
            settings.id(),
            settings.domain(),
            settings.peers().host(),
            peers.port(),
            false);
    this.spending =
        new SpendingController(
            self,
            ports.table(),
            ports.storeClock(),
            plan,
            new DemandSharePolicy(),
            timers,
            ports.startedMs(),
            random,
            peers,
            dispatcher);
    this.readiness = new Readiness(plan, upstreams, spending, timers);
    dispatcher.on(
        PeerMessage.Heartbeat.class,
        heartbeat -> CompletableFuture.completedFuture(new PeerMessage.Done()));
    DomainReachability reach = new DomainReachability(self, spending::peers, peers, timers);
    UpstreamSelection choice =
        new UpstreamSelection(
            self,
            settings,
            new UpstreamSelection.View(plan, evacuatedDomains, upstreams),
            fleetView(),
            this::sendFate,
            this::sendLimit,
            reach::isReachable,
            timers,
            random);
    CrashGuard crashes =
        new CrashGuard(
            self,
            spending::peers,
            this::sendReport,
            ports.table(),
            ports.storeClock(),
            choice.reportingEnds(new UpstreamProbe(group, timers)),
            upstream -> upstreams.read().isAccepting(upstream),
            timers,
            random);
    this.notices =
        new DatagramNotices(
            group,
            settings.peers().host(),
            settings.peers().port(),
            spending::peers,
            new NoticeListeners(
                (incarnation, tokens) -> {
                  if (upstreams.read().containsIncarnation(incarnation)) {
                    choice.onNotice(incarnation, tokens);
                  }
                },
                crashes::onMessage,
                choice.statusBroadcast()::onReport,
                choice.limits()::onReport,
                reach::onMessageFromHost),
            ports.work());
    ForwardDependencies parts =
        new ForwardDependencies(
            ports.dialect(),
            readiness.initialState(),
            plan,
            choice.checks(),
            choice.picker(),
            choice.loads(),
            choice.memory(),
            choice.speed(),
            notices,
            spending,
            new SharedRetryBudget(settings.retries(), spending::instanceCount, timers),
            new RequestLog(metrics, timers),
            crashes,
            choice.statusBroadcast(),
            choice.selfReports(),
            reach::onMessageFromDomain,
            timers,
            ports.work(),
            random);
    this.edge = new ForwardServer(group, parts, ports.callers(), settings.maxBufferedBytes());
    this.probeServer =
        HttpServer.ofService(
            group,
            settings.probes().host(),
            settings.probes().port(),
            new ReadyService(settings.readyPath(), this::unreadyReason));
    this.metricsServer =
        HttpServer.ofService(
            group,
            settings.probes().host(),
            settings.metricsPort(),
            new ProbeService(this::unreadyReason, metrics));
    ForwardGauges gauges = new ForwardGauges(metrics);
    gauges.showEdge(edge);
    gauges.showSpending(plan, spending);
    gauges.showCrashes(crashes);
    gauges.showUpstreams(evacuatedDomains, choice);
    gauges.showLog();
    gauges.showWork(ports.work());
    timers.every(PRUNE_INTERVAL_MS, () -> choice.loads().retain(upstreams.read()));
    timers.every(WORK_LOG_INTERVAL_MS, () -> WorkLog.write(ports.work()));
    StatePoller follower =
        new StatePoller(ports.state(), plan, evacuatedDomains, upstreams, timers, settings.view());
    gauges.showView(plan, upstreams, follower);
  }

  private FleetView fleetView() {
    return new FleetView() {
      @Override
      public List<InstanceRecord> others() {
        return spending.peers();
      }

      @Override
      public boolean isCurrent() {
        return spending.isFleetViewCurrent();
      }
    };
  }

  private void sendFate(UpstreamStatusReport report, List<InstanceRecord> to) {
    notices.send(report, to);
  }

  private void sendLimit(RateLimitReport report, List<InstanceRecord> to) {
    notices.send(report, to);
  }

  private void sendReport(CrashMessage message, List<InstanceRecord> to) {
    notices.send(message, to);
  }

  private static NettyPeers newPeers(
      ForwardSettings settings, PeerDispatcher dispatcher, EventLoopGroup group, WorkStats work) {
    JsonResources codec = new JsonResources();
    return new NettyPeers(
        group,
        new PeerEncoder(codec),
        new PeerDecoder(codec),
        dispatcher,
        settings.peers().host(),
        settings.peers().port(),
        work);
  }

  private String unreadyReason() {
    return leaving ? "leaving" : readiness.unreadyReason();
  }

  /**
   * Leaves without cutting off a request.
   *
   * <p>The probe says no at once. What still arrives is served until callers have been sent
   * elsewhere and refused after that; what is under way goes on until it has ended, or the time to
   * leave is over.
   *
   * @return completes when the process may exit
   */
  public CompletableFuture<Void> leave() {
    if (!leaving) {
      leaving = true;
      Logger.info("leaving underWay={}", edge.inFlightCount());
      edge.startDraining();
      long beganMs = timers.nowMs();
      Subscription[] check = new Subscription[1];
      check[0] = timers.every(LEAVE_CHECK_MS, () -> checkDrained(beganMs, check[0]));
    }
    return drainFuture;
  }

  private void checkDrained(long beganMs, Subscription check) {
    long sinceMs = timers.nowMs() - beganMs;
    if (sinceMs >= MIN_DRAIN_MS) {
      edge.refuseNew();
    }
    boolean idle = sinceMs >= MIN_DRAIN_MS && edge.inFlightCount() == 0;
    if (sinceMs < settings.leaveMs() && !idle) {
      return;
    }
    check.cancel();
    Logger.info("left underWay={} tookMs={}", edge.inFlightCount(), sinceMs);
    timers.after(HAND_BACK_TIMEOUT_MS, () -> drainFuture.complete(null));
    spending.returnUnspentTokens().thenRun(() -> drainFuture.complete(null));
  }

  /**
   * Gives the port for callers.
   *
   * @return a TCP port
   */
  public int callerPort() {
    return edge.port();
  }

  /**
   * Gives the port for probes.
   *
   * @return a TCP port
   */
  public int probePort() {
    return probeServer.port();
  }

  /**
   * Gives the port for metrics.
   *
   * @return a TCP port
   */
  public int metricsPort() {
    return metricsServer.port();
  }

  /** Closes all sockets at once. */
  public void close() {
    edge.close();
    probeServer.close();
    metricsServer.close();
    peers.close();
    notices.close();
  }
}
