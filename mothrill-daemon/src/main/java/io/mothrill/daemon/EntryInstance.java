package io.mothrill.daemon;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.node.Node;
import io.mothrill.core.node.NodePorts;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkStats;
import io.mothrill.daemon.settings.InstanceSettings;
import io.mothrill.wire.caller.CallerServer;
import io.mothrill.wire.forward.TcpPathProbe;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpServer;
import io.mothrill.wire.json.JsonResources;
import io.mothrill.wire.operator.OperatorService;
import io.mothrill.wire.operator.ProbeService;
import io.mothrill.wire.operator.ResourceStatus;
import io.mothrill.wire.peer.DatagramNotices;
import io.mothrill.wire.peer.NettyPeers;
import io.mothrill.wire.peer.NoticeListeners;
import io.mothrill.wire.peer.PathOpener;
import io.mothrill.wire.peer.PeerCodec;
import io.mothrill.wire.peer.PeerDecoder;
import io.mothrill.wire.peer.PeerEncoder;
import io.mothrill.wire.platform.HttpInstanceList;
import io.mothrill.wire.platform.HttpTableService;
import io.mothrill.wire.time.NettyTimers;
import io.mothrill.wire.upstream.HttpUpstreamClient;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * An entry instance: a node and its network endpoints.
 *
 * <pre>{@code
 * EntryInstance instance = EntryInstance.start(settings);
 * instance.drain().join();
 * instance.close();
 * }</pre>
 */
public final class EntryInstance {

  private static final long IDLE_CONNECTION_CHECK_MS = 5_000;

  private final EventLoopGroup group;
  private final MetricRegistry metrics = new MetricRegistry();
  private final NettyPeers peers;
  private volatile DatagramNotices notices;
  private final Node node;
  private final CallerServer callerEdge;
  private final HttpServer operatorServer;
  private final HttpServer opsServer;

  private EntryInstance(InstanceSettings settings) {
    this.group =
        new MultiThreadIoEventLoopGroup(
            0, new DefaultThreadFactory(settings.id()), NioIoHandler.newFactory());
    Timers timers = new NettyTimers(group);
    HttpClient http = new HttpClient(group);
    timers.every(IDLE_CONNECTION_CHECK_MS, http::closeIdleConnections);
    TableService table =
        new HttpTableService(http, settings.platform(), settings.platformTimeoutMs());
    PeerDispatcher dispatcher = new PeerDispatcher();
    this.peers = newPeers(settings, dispatcher);
    Random random = new SecureRandom();
    NodePorts ports =
        new NodePorts(
            table,
            new HttpInstanceList(http, settings.platform(), settings.platformTimeoutMs()),
            peers,
            dispatcher,
            new HttpUpstreamClient(http, timers),
            new TcpPathProbe(group),
            this::sendCrashMessage,
            new JsonResources(),
            timers,
            random);
    this.node = new Node(recordOf(settings, ports), ports, settings.node(), metrics);
    this.notices =
        new DatagramNotices(
            group,
            settings.host(),
            peers.port(),
            () -> node.members().read().others(),
            NoticeListeners.ofCrashes(node.crashes()::onMessage),
            new WorkStats());
    this.callerEdge =
        new CallerServer(
            group,
            settings.host(),
            settings.ports().caller(),
            node.requests(),
            node.config(),
            settings.callers());
    this.operatorServer =
        HttpServer.ofService(
            group, settings.host(), settings.ports().operator(), operatorService(ports));
    this.opsServer =
        HttpServer.ofService(
            group,
            settings.host(),
            settings.ports().ops(),
            new ProbeService(node::unreadyReason, metrics));
  }

  /** Messages sent before the socket is open are dropped; they are repeated periodically. */
  private void sendCrashMessage(CrashMessage message, List<InstanceRecord> to) {
    if (notices != null) {
      notices.send(message, to);
    }
  }

  private NettyPeers newPeers(InstanceSettings settings, PeerDispatcher dispatcher) {
    JsonResources codec = new JsonResources();
    return new NettyPeers(
        group,
        new PeerCodec(new PeerEncoder(codec), new PeerDecoder(codec)),
        dispatcher,
        PathOpener.NONE,
        settings.host(),
        settings.ports().peer(),
        new WorkStats());
  }

  private InstanceRecord recordOf(InstanceSettings settings, NodePorts ports) {
    String started = Long.toString(ports.timers().wallMs(), Character.MAX_RADIX);
    String incarnation = settings.id() + "." + started + "." + Node.newId(ports.random());
    return new InstanceRecord(
        settings.id(), incarnation, settings.domain(), settings.host(), peers.port(), false);
  }

  private OperatorService operatorService(NodePorts ports) {
    ResourceStatus status =
        new ResourceStatus(ports.table(), node.budgets(), node.upstreams(), node.router());
    return new OperatorService(
        node.configStore(),
        node.config(),
        node.membership(),
        status,
        node.decisions(),
        ports.timers());
  }

  /**
   * Starts an instance.
   *
   * @param settings the settings
   * @return the listening instance
   */
  public static EntryInstance start(InstanceSettings settings) {
    EntryInstance instance = new EntryInstance(settings);
    Logger.info(
        "started id={} domain={} callerPort={} operatorPort={} opsPort={} peerPort={}",
        settings.id(),
        settings.domain(),
        instance.callerPort(),
        instance.operatorPort(),
        instance.opsPort(),
        instance.peers.port());
    return instance;
  }

  /**
   * Returns the port for callers.
   *
   * @return the TCP port
   */
  public int callerPort() {
    return callerEdge.port();
  }

  /**
   * Returns the port for operators.
   *
   * @return the TCP port
   */
  public int operatorPort() {
    return operatorServer.port();
  }

  /**
   * Returns the port for probes and metrics.
   *
   * @return the TCP port
   */
  public int opsPort() {
    return opsServer.port();
  }

  /**
   * Returns the node.
   *
   * @return the node that makes the decisions
   */
  public Node node() {
    return node;
  }

  /**
   * Returns the metrics.
   *
   * @return the metric registry
   */
  public MetricRegistry metrics() {
    return metrics;
  }

  /**
   * Drains the instance without aborting requests.
   *
   * @return a future that completes when the process may exit
   */
  public CompletableFuture<Void> drain() {
    return node.drain();
  }

  /** Closes all sockets immediately, like a crash. */
  public void close() {
    callerEdge.close();
    operatorServer.close();
    opsServer.close();
    peers.close();
    notices.close();
    group.shutdownGracefully();
  }
}
