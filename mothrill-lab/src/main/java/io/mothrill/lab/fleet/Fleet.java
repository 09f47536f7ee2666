package io.mothrill.lab.fleet;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.audit.AuditReport;
import io.mothrill.core.audit.Auditor;
import io.mothrill.core.config.ChangeRequest;
import io.mothrill.core.config.ConfigStore;
import io.mothrill.core.fake.FakeInstanceList;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.Fault;
import io.mothrill.core.fake.FaultInjector;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.node.Node;
import io.mothrill.core.node.NodePorts;
import io.mothrill.core.node.NodeSettings;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.request.CallRequest;
import io.mothrill.core.resource.Spec;
import io.mothrill.core.upstream.UpstreamClient;
import io.mothrill.wire.json.JsonResources;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * An in-memory cluster of nodes whose clock, network, platform and upstreams are under the control
 * of the caller.
 *
 * <pre>{@code
 * Fleet fleet = new Fleet(NodeSettings.standard(), 42);
 * fleet.start("konya-1", "konya");
 * fleet.network().partition("konya", Network.PLATFORM);
 * fleet.advanceMs(3_600_000);
 * }</pre>
 */
public final class Fleet {

  private static final long INSTANCE_EXPIRY_MS = 10_000;
  private static final long CRASH_MESSAGE_LATENCY_MS = 1;

  private final NodeSettings settings;
  private final Random random;
  private Fault platformFault = Fault.NONE;
  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final FakeInstanceList instances = new FakeInstanceList(timers, INSTANCE_EXPIRY_MS);
  private final Network network = new Network();
  private final MemoryLinks links = new MemoryLinks(timers, network);
  private final Map<String, FleetNode> nodes = new TreeMap<>();
  private final Map<String, MemoryUpstream> upstreams = new TreeMap<>();
  private final Set<String> withoutPaths = new HashSet<>();

  /**
   * Creates a fleet without nodes.
   *
   * @param settings the settings of its nodes
   * @param seed the seed of all random choices, which makes a run reproducible
   */
  public Fleet(NodeSettings settings, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
  }

  /**
   * Starts a node; an earlier node with the same id must have been killed.
   *
   * @param id the id of the instance
   * @param domain its failure domain
   * @return the node
   */
  public FleetNode start(String id, String domain) {
    Random nodeRandom = new Random(random.nextLong());
    InstanceRecord record =
        new InstanceRecord(id, id + "." + Node.newId(nodeRandom), domain, id, 1, false);
    Network.Location location = Network.Location.of(id, domain);
    NodeClock clock = new NodeClock(timers);
    FaultInjector platformFaults = new FaultInjector(clock);
    platformFaults.setFault(platformFault);
    PeerDispatcher dispatcher = new PeerDispatcher();
    links.register(id, location, clock, dispatcher);
    PlatformAccess platform = new PlatformAccess(network, location, platformFaults);
    NodePorts ports =
        new NodePorts(
            platform.table(table, platformFaults),
            platform.list(instances),
            links.linksFrom(location, clock),
            dispatcher,
            upstreamClient(id, location, clock),
            upstream -> CompletableFuture.completedFuture(probe(id, location, upstream)),
            (message, to) -> to.forEach(peer -> deliverCrashMessage(record, message, peer)),
            new JsonResources(),
            clock,
            nodeRandom);
    FleetNode node =
        new FleetNode(
            record, new Node(record, ports, settings, new MetricRegistry()), clock, platformFaults);
    nodes.put(id, node);
    return node;
  }

  private UpstreamClient upstreamClient(String id, Network.Location location, NodeClock clock) {
    return (call, listener) -> {
      MemoryUpstream target = upstream(call.target().host());
      Network.Location upstreamLocation =
          Network.Location.of(call.target().host(), call.target().domain());
      return network.reaches(location, upstreamLocation) && !withoutPaths.contains(id)
          ? target.start(call, listener, clock)
          : MemoryUpstream.unreachable(call, listener, clock);
    };
  }

  private PathOutcome probe(String id, Network.Location from, RegisteredUpstream upstream) {
    Network.Location upstreamLocation = Network.Location.of(upstream.host(), upstream.domain());
    if (!network.reaches(from, upstreamLocation)) {
      return PathOutcome.UNREACHABLE;
    }
    return withoutPaths.contains(id) || upstream(upstream.host()).isDown()
        ? PathOutcome.REFUSED
        : PathOutcome.REACHED;
  }

  /**
   * Resets all connections to upstreams, and refuses new ones of a node, whose network has lost its
   * paths to them.
   *
   * @param id the id of the instance
   */
  public void resetPaths(String id) {
    withoutPaths.add(id);
    upstreams.values().forEach(MemoryUpstream::resetConnections);
  }

  /**
   * Restores the paths of a node to upstreams.
   *
   * @param id the id of the instance
   */
  public void restorePaths(String id) {
    withoutPaths.remove(id);
  }

  /** Delivers a crash message, which is neither acknowledged nor retransmitted. */
  private void deliverCrashMessage(InstanceRecord from, CrashMessage message, InstanceRecord to) {
    FleetNode target = nodes.get(to.id());
    Network.Location location = Network.Location.of(from.id(), from.domain());
    if (target != null && network.reaches(location, target.location())) {
      timers.after(
          CRASH_MESSAGE_LATENCY_MS,
          () -> target.clock().run(() -> target.node().crashes().onMessage(message, from)));
    }
  }

  /**
   * Returns an upstream, which is created when it is first requested.
   *
   * @param name the name, which is also its host
   * @return the upstream
   */
  public MemoryUpstream upstream(String name) {
    return upstreams.computeIfAbsent(name, id -> new MemoryUpstream());
  }

  /**
   * Returns the upstreams.
   *
   * @return the upstreams created so far
   */
  public List<MemoryUpstream> upstreams() {
    return List.copyOf(upstreams.values());
  }

  /**
   * Declares a resource directly in the platform's table, as an operator would through an instance
   * outside the fleet.
   *
   * @param name the name of the resource
   * @param spec the spec
   */
  public void declare(String name, Spec spec) {
    ChangeRequest request =
        new ChangeRequest(
            spec.kind(),
            name,
            Optional.of(spec),
            OptionalLong.empty(),
            "change-" + random.nextLong(),
            "operator");
    CompletableFuture<?> accepted =
        new ConfigStore(table, new JsonResources(), timers).change(request);
    accepted.join();
  }

  /**
   * Sends a request to a node.
   *
   * @param id the id of the instance
   * @param request the request
   * @return the caller, which records the answer
   */
  public MemoryCaller call(String id, CallRequest request) {
    FleetNode node = nodes.get(id);
    MemoryCaller caller = new MemoryCaller(node.clock());
    node.clock().run(() -> node.node().requests().run(request, caller));
    return caller;
  }

  /**
   * Advances the clock and runs the tasks that become due.
   *
   * @param durationMs the duration in milliseconds
   */
  public void advanceMs(long durationMs) {
    timers.advanceMs(durationMs);
  }

  /**
   * Returns a node.
   *
   * @param id the id of the instance
   * @return the node that was last started with that id
   */
  public FleetNode node(String id) {
    return Optional.ofNullable(nodes.get(id))
        .orElseThrow(() -> new IllegalArgumentException("there is no instance " + id));
  }

  /**
   * Returns the nodes.
   *
   * @return the nodes in the order of their ids, including killed ones
   */
  public List<FleetNode> nodes() {
    return List.copyOf(nodes.values());
  }

  /**
   * Returns the network.
   *
   * @return the network
   */
  public Network network() {
    return network;
  }

  /**
   * Checks whether messages from one node reach another.
   *
   * @param from the sending node
   * @param to the receiving node
   * @return true when no partition separates them
   */
  public boolean reaches(FleetNode from, FleetNode to) {
    return network.reaches(from.location(), to.location());
  }

  /**
   * Checks whether a node reaches the platform.
   *
   * @param from the node
   * @return true when no partition separates them
   */
  public boolean reachesPlatform(FleetNode from) {
    return network.reaches(from.location(), Network.Location.of(Network.PLATFORM));
  }

  /**
   * Reads a row, bypassing all injected faults.
   *
   * @param key the key of the row
   * @return the row
   */
  public Row readBypassingFaults(RowKey key) {
    return table.withFaults(new FaultInjector(timers)).read(List.of(key)).join().get(0);
  }

  /**
   * Returns the table of the platform.
   *
   * @return the table
   */
  public FakeTable table() {
    return table;
  }

  /**
   * Sets the fault of the platform for all nodes.
   *
   * @param fault the fault; {@link Fault#NONE} ends an outage
   */
  public void setPlatformFault(Fault fault) {
    platformFault = fault;
    table.faults().setFault(fault);
    instances.faults().setFault(fault);
    nodes.values().forEach(node -> node.platformFaults().setFault(fault));
  }

  /**
   * Returns the manual timers.
   *
   * @return the clock and timers that all nodes share
   */
  public ManualTimers timers() {
    return timers;
  }

  /**
   * Returns the number of messages between nodes.
   *
   * @return the number of messages sent since the start
   */
  public long messageCount() {
    return links.sentCount();
  }

  /**
   * Audits the budgets and bills in the platform's table, bypassing all injected faults.
   *
   * @return the report
   */
  public AuditReport audit() {
    return new Auditor(table.withFaults(new FaultInjector(timers))).audit().join();
  }

  /** The access of one node to the platform. */
  private record PlatformAccess(
      Network network, Network.Location location, FaultInjector platformFaults) {

    private boolean isReachable() {
      return network.reaches(location, Network.Location.of(Network.PLATFORM));
    }

    TableService table(FakeTable table, FaultInjector faults) {
      return new PartitionedTable(table.withFaults(faults), this::isReachable);
    }

    InstanceList list(FakeInstanceList instances) {
      return new PartitionedInstanceList(instances, this::isReachable);
    }
  }
}
