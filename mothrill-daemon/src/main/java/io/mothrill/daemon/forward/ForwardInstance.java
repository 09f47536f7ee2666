package io.mothrill.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.admission.ReportedOccupancy;
import io.mothrill.core.forward.admission.RetryAfterPolicy;
import io.mothrill.core.forward.admission.ServiceAdmissions;
import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.contention.ConnectTimeouts;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.path.RelayCandidates;
import io.mothrill.core.forward.path.UpstreamPaths;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.retry.SharedRetryBudget;
import io.mothrill.core.forward.spending.DemandSharePolicy;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.stream.ServedVersions;
import io.mothrill.core.forward.stream.StreamNotice;
import io.mothrill.core.forward.stream.StreamOrigins;
import io.mothrill.core.forward.upstream.DomainReachability;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.ViewController;
import io.mothrill.core.forward.view.exchange.ViewExchange;
import io.mothrill.core.forward.view.exchange.ViewNotice;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.TimerLateness;
import io.mothrill.wire.forward.DirectMemory;
import io.mothrill.wire.forward.ForwardDependencies;
import io.mothrill.wire.forward.ForwardServer;
import io.mothrill.wire.forward.TcpPathProbe;
import io.mothrill.wire.http.HttpServer;
import io.mothrill.wire.json.JsonResources;
import io.mothrill.wire.operator.ProbeService;
import io.mothrill.wire.peer.DatagramNotices;
import io.mothrill.wire.peer.NettyPeers;
import io.mothrill.wire.peer.NoticeListeners;
import io.mothrill.wire.peer.PeerCodec;
import io.mothrill.wire.peer.PeerDecoder;
import io.mothrill.wire.peer.PeerEncoder;
import io.mothrill.wire.relay.RelayAcceptor;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * An instance that forwards requests; wires up its components and drains it on shutdown.
 *
 * <pre>{@code
 * ForwardInstance instance = new ForwardInstance(settings, ports, group, timers);
 * instance.leave().join();
 * instance.close();
 * }</pre>
 */
public final class ForwardInstance {

  /**
   * How often the state of delisted upstreams without requests in flight is removed. Requests last
   * seconds, and the state of an upstream takes a few hundred bytes.
   */
  private static final long PRUNE_INTERVAL_MS = 10_000;

  /**
   * The interval of log lines about the work of the event loops; each takes a few hundred bytes.
   */
  private static final long WORK_LOG_INTERVAL_MS = 10_000;

  /** The time limit for tasks that the event loops still run when the instance is closed. */
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  private final ForwardSettings settings;
  private final EventLoopGroup group;
  private final Timers timers;
  private final PublishedValue<ForwardingPlan> plan =
      new PublishedValue<>(ForwardingPlan.unknown());
  private final PublishedValue<Set<String>> evacuatedDomains = new PublishedValue<>(Set.of());
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private final MetricRegistry metrics = new MetricRegistry();
  private final RelayAcceptor relays;
  private final NettyPeers peers;
  private final DatagramNotices notices;
  private final SpendingController spending;
  private final Readiness readiness;
  private final BufferBudget buffers;
  private final ForwardServer edge;
  private final HttpServer probeServer;
  private final HttpServer metricsServer;
  private final InstanceDrain drain;
  private volatile boolean leaving;

  /**
   * Starts an instance.
   *
   * @param settings the settings
   * @param ports the connections to the platform
   * @param group the event loops, which end with the instance
   * @param timers the timer service
   */
  public ForwardInstance(
      ForwardSettings settings, ForwardPorts ports, EventLoopGroup group, Timers timers) {
    this.settings = settings;
    this.group = group;
    this.timers = timers;
    // The generator of a thread is seeded by current(), so it is not kept for use by other threads.
    RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
    PeerDispatcher dispatcher = new PeerDispatcher();
    JsonResources resources = new JsonResources();
    PeerCodec codec = new PeerCodec(new PeerEncoder(resources), new PeerDecoder(resources));
    PathSetup pathSetup =
        new PathSetup(upstreams, () -> leaving, new TcpPathProbe(group), codec, ports.work());
    this.relays = pathSetup.acceptor();
    this.peers =
        new NettyPeers(
            group,
            codec,
            dispatcher,
            relays,
            settings.peers().host(),
            settings.peers().port(),
            ports.work());
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
    this.buffers =
        new BufferBudget(
            settings.maxBufferedBytes(), DirectMemory.limit(settings.maxResponseBytes()), timers);
    final LoadFeatures loadFeatures = LoadFeatures.of(settings.underPressure());
    this.readiness = new Readiness(plan, upstreams, spending, timers);
    dispatcher.on(
        PeerMessage.Heartbeat.class,
        heartbeat -> CompletableFuture.completedFuture(new PeerMessage.Done()));
    DomainReachability reach = new DomainReachability(self, spending::peers, peers, timers);
    UpstreamSelection choice =
        new UpstreamSelection(
            self,
            settings,
            loadFeatures,
            new UpstreamSelection.View(plan, evacuatedDomains, upstreams),
            fleetView(),
            pathSetup.broken(),
            reportSenders(),
            reach::isReachable,
            timers,
            random);
    UpstreamPaths paths =
        pathSetup.watchPaths(
            self,
            spending::peers,
            peers,
            dispatcher,
            choice.loads(),
            choice.statusBroadcast(),
            timers);
    RelayCandidates relayCandidates =
        new RelayCandidates(self, spending::peers, reach::isReachable, timers, random);
    CrashGuard crashes =
        new CrashGuard(
            self,
            spending::peers,
            this::sendCrashMessage,
            ports.table(),
            ports.storeClock(),
            PathSetup.terminationProbe(paths, timers),
            upstream -> upstreams.read().isAccepting(upstream),
            timers,
            random);
    final ViewController view =
        new ViewController(
            ports.state(),
            ports.decoder(),
            plan,
            evacuatedDomains,
            upstreams,
            spending::instanceCount,
            ports.storeClock(),
            timers,
            random,
            settings.view());
    final ViewExchange exchange =
        new ViewExchange(
            self,
            spending::peers,
            view,
            this::sendViewNotice,
            peers,
            dispatcher,
            settings.view(),
            timers,
            random);
    view.subscribe(exchange::onChanged);
    final StreamOrigins streamOrigins =
        new StreamOrigins(
            self,
            spending::peers,
            new ServedVersions(upstreams, view.upstreamListState(), ports.storeClock(), timers),
            this::sendStreamNotice,
            ports.table(),
            ports.storeClock(),
            timers);
    this.notices =
        new DatagramNotices(
            group,
            settings.peers().host(),
            settings.peers().port(),
            spending::peers,
            new NoticeListeners(
                (incarnation, tokens) ->
                    upstreams
                        .read()
                        .findIncarnation(incarnation)
                        .ifPresent(upstream -> choice.onNotice(upstream, tokens)),
                crashes::onMessage,
                choice.statusBroadcast()::onReport,
                choice.limits()::onReport,
                choice.rejectionBudgets()::onReport,
                choice::onContentionReport,
                exchange::onNotice,
                streamOrigins::onNotice,
                choice.leases()::onMessage,
                reach::onMessageFromHost),
            ports.work());
    ServiceAdmissions admissions =
        new ServiceAdmissions(
            loadFeatures,
            new ReportedOccupancy(upstreams, evacuatedDomains, choice.loads()),
            new RetryAfterPolicy(random),
            timers,
            random);
    ForwardDependencies parts =
        new ForwardDependencies(
            ports.dialect(),
            readiness.initialState(),
            plan,
            choice.checks(),
            choice.rejectionBudgets(),
            choice.picker(),
            choice.loads(),
            choice.holdings(),
            choice.memory(),
            choice.speed(),
            notices,
            choice.prompts().tracker(),
            streamOrigins,
            spending,
            new SharedRetryBudget(settings.retries(), spending::instanceCount, timers),
            new RequestLog(metrics, timers),
            new SurplusLines(metrics, timers),
            crashes,
            pathSetup.endCheck(paths, timers),
            choice.statusBroadcast(),
            choice.selfReports(),
            upstream -> onContact(upstream, reach, paths),
            paths,
            pathSetup.broken(),
            pathSetup.relayClient(),
            relayCandidates,
            loadFeatures,
            admissions,
            choice.contention(),
            new ConnectTimeouts(loadFeatures),
            buffers,
            timers,
            ports.work(),
            random);
    this.edge = new ForwardServer(group, parts, ports.callers());
    this.drain =
        new InstanceDrain(
            edge,
            () -> edge.inFlightCount() + relays.openCount() + buffers.heldBytes() == 0,
            spending::returnUnspentTokens,
            settings.drainTimeoutMs(),
            timers);
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
    gauges.registerServer(edge);
    gauges.registerSpending(plan, spending);
    gauges.registerCrashes(crashes);
    gauges.registerUpstreams(evacuatedDomains, choice);
    gauges.registerPaths(paths, relayCandidates, relays);
    gauges.registerPromptPools(choice.prompts().pools(), choice.prompts().tracker());
    gauges.registerHoldings(choice.holdings(), timers);
    gauges.registerAdmissions(admissions);
    gauges.registerContention(choice.contention());
    gauges.registerBuffers(buffers);
    gauges.registerStreams(streamOrigins);
    gauges.registerLog();
    gauges.registerWork(ports.work());
    timers.every(PRUNE_INTERVAL_MS, () -> choice.retain(upstreams.read()));
    TimerLateness lateness = new TimerLateness(timers);
    timers.every(WORK_LOG_INTERVAL_MS, () -> WorkLog.write(ports.work(), lateness));
    gauges.registerView(plan, upstreams, view, exchange);
    view.start();
  }

  private static void onContact(
      RegisteredUpstream upstream, DomainReachability reach, UpstreamPaths paths) {
    reach.onMessageFromDomain(upstream.domain());
    paths.onContact(upstream);
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

      @Override
      public long registrationAgeMs() {
        return spending.renewalAgeMs();
      }
    };
  }

  /** The notices are started later, since they deliver to the components that send. */
  private ReportSenders reportSenders() {
    return new ReportSenders(
        (report, to) -> notices.send(report, to),
        (report, to) -> notices.send(report, to),
        (report, to) -> notices.send(report, to),
        (report, to) -> notices.send(report, to),
        (message, to) -> notices.send(message, to));
  }

  private void sendCrashMessage(CrashMessage message, List<InstanceRecord> to) {
    notices.send(message, to);
  }

  private void sendStreamNotice(StreamNotice notice, List<InstanceRecord> to) {
    notices.send(notice, to);
  }

  private void sendViewNotice(ViewNotice notice, List<InstanceRecord> to) {
    notices.send(notice, to);
  }

  private String unreadyReason() {
    return leaving ? "leaving" : readiness.unreadyReason();
  }

  /**
   * Drains the instance without aborting requests.
   *
   * <p>The readiness probe fails immediately; {@link InstanceDrain} does the rest.
   *
   * @return a future that completes when the process may exit
   */
  public CompletableFuture<Void> drain() {
    if (!leaving) {
      leaving = true;
      drain.start();
    }
    return drain.future();
  }

  /**
   * Returns the port for callers.
   *
   * @return the TCP port
   */
  public int callerPort() {
    return edge.port();
  }

  /**
   * Returns the port for probes.
   *
   * @return the TCP port
   */
  public int probePort() {
    return probeServer.port();
  }

  /**
   * Returns the port for metrics.
   *
   * @return the TCP port
   */
  public int metricsPort() {
    return metricsServer.port();
  }

  /**
   * Closes all sockets immediately and ends the event loops, after which nothing is sent; has no
   * effect if the instance is closed already.
   */
  public void close() {
    if (group.isShuttingDown()) {
      return;
    }
    edge.close();
    probeServer.close();
    metricsServer.close();
    peers.close();
    notices.close();
    group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
