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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A few nodes in memory whose time, network, platform and upstreams the caller holds in hand.
 *
 * <pre>{@code
 * Fleet fleet = new Fleet(NodeSettings.standard(), 42);
 * fleet.start("konya-1", "konya");
 * fleet.network().cut("konya", Network.PLATFORM);
 * fleet.advanceMs(3_600_000);
 * }</pre>
 */
public final class Fleet {

  private static final long LIST_LAG_MS = 10_000;
  private static final long REPORT_MS = 1;

  private final NodeSettings settings;
  private final Random random;
  private Fault platformFault = Fault.NONE;
  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final FakeInstanceList instances = new FakeInstanceList(timers, LIST_LAG_MS);
  private final Network network = new Network();
  private final MemoryLinks links = new MemoryLinks(timers, network);
  private final Map<String, FleetNode> nodes = new TreeMap<>();
  private final Map<String, MemoryUpstream> upstreams = new TreeMap<>();

  /**
   * Creates a fleet without nodes.
   *
   * @param settings how its nodes decide
   * @param seed makes every random choice, so that a run can be repeated
   */
  public Fleet(NodeSettings settings, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
  }

  /**
   * Starts a node; an earlier one of that name must be dead or gone.
   *
   * @param id the instance's name
   * @param domain its failure domain
   * @return the node
   */
  public FleetNode start(String id, String domain) {
    Random own = new Random(random.nextLong());
    InstanceRecord record =
        new InstanceRecord(id, id + "." + Node.newId(own), domain, id, 1, false);
    Network.Place place = Network.Place.of(id, domain);
    NodeClock clock = new NodeClock(timers);
    FaultInjector way = new FaultInjector(clock);
    way.setFault(platformFault);
    PeerDispatcher dispatcher = new PeerDispatcher();
    links.join(id, place, clock, dispatcher);
    PlatformWay platform = new PlatformWay(network, place, way);
    NodePorts ports =
        new NodePorts(
            platform.table(table, way),
            platform.list(instances),
            links.of(place, clock),
            dispatcher,
            upstreamsOf(place, clock),
            upstream -> endOf(place, upstream),
            (message, to) -> to.forEach(peer -> report(record, message, peer)),
            new JsonResources(),
            clock,
            own);
    FleetNode node =
        new FleetNode(record, new Node(record, ports, settings, new MetricRegistry()), clock, way);
    nodes.put(id, node);
    return node;
  }

  private UpstreamClient upstreamsOf(Network.Place place, NodeClock clock) {
    return (call, listener) -> {
      MemoryUpstream target = upstream(call.target().host());
      Network.Place at = Network.Place.of(call.target().host(), call.target().domain());
      return network.reaches(place, at)
          ? target.start(call, listener, clock)
          : MemoryUpstream.unreachable(call, listener, clock);
    };
  }

  /** An upstream behind a cut shows no end. */
  private CompletableFuture<Boolean> endOf(Network.Place from, RegisteredUpstream upstream) {
    Network.Place at = Network.Place.of(upstream.host(), upstream.domain());
    return CompletableFuture.completedFuture(
        network.reaches(from, at) && upstream(upstream.host()).isDown());
  }

  /** Carries a message that is neither confirmed nor repeated. */
  private void report(InstanceRecord from, CrashMessage message, InstanceRecord to) {
    FleetNode target = nodes.get(to.id());
    Network.Place place = Network.Place.of(from.id(), from.domain());
    if (target != null && network.reaches(place, target.place())) {
      timers.after(
          REPORT_MS,
          () -> target.clock().run(() -> target.node().crashes().onMessage(message, from)));
    }
  }

  /**
   * Gives an upstream; it comes to be when it is first named.
   *
   * @param name the name, which is also its host
   * @return the upstream
   */
  public MemoryUpstream upstream(String name) {
    return upstreams.computeIfAbsent(name, id -> new MemoryUpstream());
  }

  /**
   * Lists the upstreams.
   *
   * @return the upstreams that were named so far
   */
  public List<MemoryUpstream> upstreams() {
    return List.copyOf(upstreams.values());
  }

  /**
   * Declares a resource directly at the platform, as an operator elsewhere would.
   *
   * @param name the resource's name
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
   * @param id the instance's name
   * @param request the request
   * @return the caller
   */
  public MemoryCaller call(String id, CallRequest request) {
    FleetNode node = nodes.get(id);
    MemoryCaller caller = new MemoryCaller(node.clock());
    node.clock().run(() -> node.node().requests().run(request, caller));
    return caller;
  }

  /**
   * Lets time pass.
   *
   * @param durationMs milliseconds
   */
  public void advanceMs(long durationMs) {
    timers.advanceMs(durationMs);
  }

  /**
   * Finds a node.
   *
   * @param id the instance's name
   * @return the node started last under that name
   */
  public FleetNode node(String id) {
    return Optional.ofNullable(nodes.get(id))
        .orElseThrow(() -> new IllegalArgumentException("there is no instance " + id));
  }

  /**
   * Lists the nodes.
   *
   * @return the nodes in order of their names, dead ones too
   */
  public List<FleetNode> nodes() {
    return List.copyOf(nodes.values());
  }

  /**
   * Gives the network.
   *
   * @return the network
   */
  public Network network() {
    return network;
  }

  /**
   * Says whether messages get from one node to another.
   *
   * @param from the one node
   * @param to the other node
   * @return true when no cut lies between them
   */
  public boolean reaches(FleetNode from, FleetNode to) {
    return network.reaches(from.place(), to.place());
  }

  /**
   * Says whether a node reaches the platform.
   *
   * @param from the node
   * @return true when no cut lies between them
   */
  public boolean reachesPlatform(FleetNode from) {
    return network.reaches(from.place(), Network.Place.of(Network.PLATFORM));
  }

  /**
   * Reads a row past all faults.
   *
   * @param key the row's address
   * @return the row
   */
  public Row readNow(RowKey key) {
    return table.withFaults(new FaultInjector(timers)).read(List.of(key)).join().get(0);
  }

  /**
   * Gives the platform's table.
   *
   * @return the table
   */
  public FakeTable table() {
    return table;
  }

  /**
   * Takes the platform down for everyone, or brings it back.
   *
   * @param fault what happens to calls
   */
  public void failPlatform(Fault fault) {
    platformFault = fault;
    table.faults().setFault(fault);
    instances.faults().setFault(fault);
    nodes.values().forEach(node -> node.platformWay().setFault(fault));
  }

  /**
   * Gives the time.
   *
   * @return the timers that all nodes live by
   */
  public ManualTimers timers() {
    return timers;
  }

  /**
   * Counts the messages between nodes.
   *
   * @return messages sent since the start
   */
  public long messageCount() {
    return links.sentCount();
  }

  /**
   * Checks the platform's books.
   *
   * @return the report
   */
  public AuditReport audit() {
    return new Auditor(table.withFaults(new FaultInjector(timers))).audit().join();
  }

  /** One node's way to the platform. */
  private record PlatformWay(Network network, Network.Place place, FaultInjector way) {

    private boolean isOpen() {
      return network.reaches(place, Network.Place.of(Network.PLATFORM));
    }

    TableService table(FakeTable table, FaultInjector faults) {
      return new CutTable(table.withFaults(faults), this::isOpen);
    }

    InstanceList list(FakeInstanceList instances) {
      return new CutInstanceList(instances, this::isOpen);
    }
  }
}
