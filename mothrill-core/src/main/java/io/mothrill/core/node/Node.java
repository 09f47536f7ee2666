package io.mothrill.core.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.budget.BudgetController;
import io.mothrill.core.budget.Lease;
import io.mothrill.core.budget.Reclaimer;
import io.mothrill.core.config.ConfigController;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.config.ConfigStore;
import io.mothrill.core.drain.DrainController;
import io.mothrill.core.drain.DrainStage;
import io.mothrill.core.forward.crash.CrashGuard;
import io.mothrill.core.forward.crash.TerminationProbe;
import io.mothrill.core.forward.crash.UpstreamProbe;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.path.PathWitnesses;
import io.mothrill.core.forward.path.WitnessedPathProbe;
import io.mothrill.core.peer.FleetPacing;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.MembershipController;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.WallClockStoreClock;
import io.mothrill.core.range.RangeCoordinator;
import io.mothrill.core.range.RangeRetention;
import io.mothrill.core.request.CallPlanner;
import io.mothrill.core.request.ExchangeContext;
import io.mothrill.core.request.PendingAnswers;
import io.mothrill.core.request.RequestRecords;
import io.mothrill.core.request.RequestService;
import io.mothrill.core.request.RetryBudget;
import io.mothrill.core.routing.AffinityScorer;
import io.mothrill.core.routing.AvoidanceScorer;
import io.mothrill.core.routing.DomainScorer;
import io.mothrill.core.routing.LoadScorer;
import io.mothrill.core.routing.RecentDecisions;
import io.mothrill.core.routing.Router;
import io.mothrill.core.routing.SplitAdmissionPolicy;
import io.mothrill.core.routing.UpstreamRegistry;
import io.mothrill.core.routing.UpstreamSelector;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * An instance without its network layer: all components that decide, connected through ports.
 *
 * <pre>{@code
 * Node node = new Node(self, ports, NodeSettings.standard(), new MetricRegistry());
 * node.requests().run(request, caller);
 * node.drain();
 * }</pre>
 */
public final class Node {

  private static final long CONFIG_POLL_MS = 500;
  private static final double DOMAIN_PENALTY = 0.3;
  private static final double AFFINITY_GAIN = 0.2;
  private static final long MAX_ANSWER_BYTES = 16L * 1024 * 1024;
  private static final int ID_BYTES = 16;

  private final NodePorts ports;
  private final NodeSettings settings;
  private final MetricRegistry metrics;
  private final PublishedValue<ConfigSnapshot> config =
      new PublishedValue<>(ConfigSnapshot.empty());
  private final PublishedValue<DrainStage> drainStage = new PublishedValue<>(DrainStage.SERVING);
  private final PublishedValue<Membership> members;
  private final ConfigStore configStore;
  private final MembershipController membership;
  private final Lease lease;
  private final BudgetController budgets;
  private final RequestRecords records;
  private final RangeCoordinator ranges;
  private final PendingAnswers answers;
  private final RecentDecisions decisions = new RecentDecisions();
  private final UpstreamRegistry upstreams;
  private final Router router;
  private final CrashGuard crashes;
  private final RequestService requests;
  private final DrainController drain;

  /**
   * Creates a node and starts its timers.
   *
   * @param self the record of this instance
   * @param ports the external services that it uses
   * @param settings the settings
   * @param metrics the metric registry
   */
  public Node(InstanceRecord self, NodePorts ports, NodeSettings settings, MetricRegistry metrics) {
    this.ports = ports;
    this.settings = settings;
    this.metrics = metrics;
    this.members = new PublishedValue<>(Membership.selfOnly(self));
    this.configStore = new ConfigStore(ports.table(), ports.codec(), ports.timers());
    this.membership = newMembership();
    this.lease =
        new Lease(
            ports.table(),
            ports.timers(),
            self.incarnation(),
            settings.budgets().leaseMs(),
            settings.budgets().marginMs());
    this.budgets = newBudgets();
    this.ranges = newRangeCoordinator();
    this.answers = new PendingAnswers(members, ports.links(), ports.dispatcher(), ports.timers());
    this.records = newRecords();
    this.upstreams = new UpstreamRegistry(config);
    this.router = newRouter(self.domain());
    this.crashes = newCrashGuard(self);
    ports.dispatcher().on(PeerMessage.CheckPath.class, this::checkPath);
    this.requests = newRequests(self.incarnation());
    this.drain =
        new DrainController(
            drainStage,
            ports.timers(),
            settings.drain(),
            new NodeDrainWork(membership, requests, budgets, records, ranges));
    startReclaimer();
    registerGauges();
  }

  private void startReclaimer() {
    var unused =
        new Reclaimer(ports.table(), members, ports.timers(), settings.budgets().reclaimGraceMs());
  }

  private MembershipController newMembership() {
    ConfigController configController =
        new ConfigController(
            config,
            configStore,
            ports.timers(),
            CONFIG_POLL_MS,
            new FleetPacing(members, ports.random())::isTurn);
    return new MembershipController(
        members,
        config,
        configController,
        ports.instances(),
        ports.links(),
        ports.dispatcher(),
        ports.timers(),
        ports.random());
  }

  private BudgetController newBudgets() {
    return new BudgetController(
        ports.table(),
        lease,
        members,
        ports.links(),
        ports.dispatcher(),
        ports.timers(),
        ports.random(),
        metrics,
        settings.budgets());
  }

  private RangeCoordinator newRangeCoordinator() {
    return new RangeCoordinator(
        ports.table(),
        lease,
        members,
        ports.links(),
        ports.dispatcher(),
        ports.timers(),
        new RangeRetention(
            settings.requests().recordWindowMs(),
            settings.requests().claimWindowMs(),
            MAX_ANSWER_BYTES));
  }

  private RequestRecords newRecords() {
    return new RequestRecords(
        ranges,
        answers,
        members,
        ports.links(),
        ports.dispatcher(),
        budgets.bills(),
        ports.timers(),
        settings.requests().claimWindowMs());
  }

  private Router newRouter(String domain) {
    RoutingSettings routing = settings.routing();
    UpstreamSelector selector =
        new UpstreamSelector(
            List.of(
                new LoadScorer(routing.loadFadeMs()),
                new DomainScorer(domain, DOMAIN_PENALTY),
                new AffinityScorer(AFFINITY_GAIN),
                new AvoidanceScorer()),
            ports.random(),
            routing.compared());
    SplitAdmissionPolicy admission =
        new SplitAdmissionPolicy(
            routing.urgentOnlyShare(), routing.batchOnlyShare(), routing.loadFadeMs());
    return new Router(upstreams, selector, admission, ports.timers(), decisions, settings.queues());
  }

  private CrashGuard newCrashGuard(InstanceRecord self) {
    return new CrashGuard(
        self,
        () -> members.read().others(),
        ports.crashReports(),
        ports.table(),
        new WallClockStoreClock(ports.timers()),
        newTerminationProbe(self),
        upstreams::isServing,
        ports.timers(),
        ports.random());
  }

  /** An upstream counts as terminated only if other instances do not reach it either. */
  private TerminationProbe newTerminationProbe(InstanceRecord self) {
    PathWitnesses witnesses =
        new PathWitnesses(self, () -> members.read().others(), ports.links(), ports.timers());
    return new UpstreamProbe(
        new WitnessedPathProbe(ports.upstreamPaths(), witnesses), ports.timers());
  }

  private CompletableFuture<PeerMessage> checkPath(PeerMessage.CheckPath check) {
    return upstreams
        .findIncarnation(check.incarnation())
        .map(ports.upstreamPaths()::probe)
        .orElse(CompletableFuture.completedFuture(PathOutcome.UNKNOWN))
        .thenApply(PeerMessage.PathReply::new);
  }

  private RequestService newRequests(String incarnation) {
    ExchangeContext context =
        new ExchangeContext(
            new CallPlanner(config, ports.timers(), incarnation, () -> newId(ports.random())),
            records,
            answers,
            ranges,
            budgets,
            router,
            ports.upstreams(),
            crashes,
            new RetryBudget(settings.requests().retryRatio()),
            ports.timers(),
            metrics,
            settings.requests());
    return new RequestService(context, drainStage);
  }

  private void registerGauges() {
    metrics.registerAll(
        () ->
            Map.of(
                "requests.underWay", (Gauge<Integer>) requests::inFlightCount,
                "bills.pending", (Gauge<Integer>) budgets.bills()::pendingCount,
                "records.unconfirmed", (Gauge<Integer>) records::unconfirmedCount,
                "config.revision", (Gauge<Long>) () -> config.read().revision()));
  }

  /**
   * Creates a unique id.
   *
   * @param random the source of randomness
   * @return thirty-two hexadecimal digits
   */
  public static String newId(Random random) {
    byte[] bytes = new byte[ID_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Returns the reason why the instance accepts no requests.
   *
   * @return the reason; empty when it accepts requests
   */
  public String unreadyReason() {
    if (drainStage.read() != DrainStage.SERVING) {
      return "draining";
    }
    if (config.read().revision() == 0) {
      return "no configuration yet";
    }
    return budgets.isFenced() ? "lease lost" : "";
  }

  /**
   * Drains the instance: it leaves without interrupting a request.
   *
   * @return completes when the process may exit
   */
  public CompletableFuture<Void> drain() {
    return drain.drain();
  }

  /**
   * Returns the current configuration.
   *
   * @return the published value of the configuration
   */
  public PublishedValue<ConfigSnapshot> config() {
    return config;
  }

  /**
   * Returns the membership as seen by this node.
   *
   * @return the published value of the membership
   */
  public PublishedValue<Membership> members() {
    return members;
  }

  /**
   * Returns the store that accepts configuration changes.
   *
   * @return the store
   */
  public ConfigStore configStore() {
    return configStore;
  }

  /**
   * Returns the controller that maintains the membership.
   *
   * @return the controller
   */
  public MembershipController membership() {
    return membership;
  }

  /**
   * Returns the controller of the budgets.
   *
   * @return the controller
   */
  public BudgetController budgets() {
    return budgets;
  }

  /**
   * Returns the request records.
   *
   * @return the records
   */
  public RequestRecords records() {
    return records;
  }

  /**
   * Returns the recent routing decisions.
   *
   * @return the decisions
   */
  public RecentDecisions decisions() {
    return decisions;
  }

  /**
   * Returns the registry of upstreams.
   *
   * @return the registry
   */
  public UpstreamRegistry upstreams() {
    return upstreams;
  }

  /**
   * Returns the router, which holds the queues.
   *
   * @return the router
   */
  public Router router() {
    return router;
  }

  /**
   * Returns the guard that quarantines requests that crash upstreams.
   *
   * @return the guard
   */
  public CrashGuard crashes() {
    return crashes;
  }

  /**
   * Returns the service that runs requests.
   *
   * @return the service
   */
  public RequestService requests() {
    return requests;
  }
}
