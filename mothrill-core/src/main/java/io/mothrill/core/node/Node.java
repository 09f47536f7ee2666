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
import io.mothrill.core.peer.FleetPacing;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.MembershipController;
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
 * One instance without its sockets: every decision, put together from ports.
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
   * Puts a node together and starts its timers.
   *
   * @param self the instance as it describes itself
   * @param ports what it reaches the world through
   * @param settings how it decides
   * @param metrics counts what happens
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
        ports.upstreamEnds(),
        upstreams::isServing,
        ports.timers(),
        ports.random());
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
   * Makes an id that no other one equals.
   *
   * @param random where it comes from
   * @return thirty-two hexadecimal digits
   */
  public static String newId(Random random) {
    byte[] bytes = new byte[ID_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Says why the instance takes no requests.
   *
   * @return a few words; empty when it takes them
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
   * Leaves without cutting off a request.
   *
   * @return completes when the process may exit
   */
  public CompletableFuture<Void> drain() {
    return drain.drain();
  }

  /**
   * Gives the configuration in force.
   *
   * @return the blackboard's section
   */
  public PublishedValue<ConfigSnapshot> config() {
    return config;
  }

  /**
   * Gives the fleet as this node sees it.
   *
   * @return the blackboard's section
   */
  public PublishedValue<Membership> members() {
    return members;
  }

  /**
   * Gives the part that accepts configuration.
   *
   * @return the store
   */
  public ConfigStore configStore() {
    return configStore;
  }

  /**
   * Gives the part that follows the fleet.
   *
   * @return the controller
   */
  public MembershipController membership() {
    return membership;
  }

  /**
   * Gives the budgets.
   *
   * @return the controller
   */
  public BudgetController budgets() {
    return budgets;
  }

  /**
   * Gives the request records.
   *
   * @return the records
   */
  public RequestRecords records() {
    return records;
  }

  /**
   * Gives the last routing decisions.
   *
   * @return the decisions
   */
  public RecentDecisions decisions() {
    return decisions;
  }

  /**
   * Gives the upstreams.
   *
   * @return the table
   */
  public UpstreamRegistry upstreams() {
    return upstreams;
  }

  /**
   * Gives the queues.
   *
   * @return the router
   */
  public Router router() {
    return router;
  }

  /**
   * Gives the part that keeps requests that end upstreams away from them.
   *
   * @return the guard
   */
  public CrashGuard crashes() {
    return crashes;
  }

  /**
   * Gives the part that runs requests.
   *
   * @return the service
   */
  public RequestService requests() {
    return requests;
  }
}
