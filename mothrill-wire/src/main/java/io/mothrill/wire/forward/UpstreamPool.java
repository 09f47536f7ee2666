package io.mothrill.wire.forward;

import io.mothrill.core.forward.path.BrokenPaths;
import io.mothrill.core.time.Timers;
import io.mothrill.wire.response.ConnectionUse;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** The connections to upstreams of one event loop; all methods are called on that loop. */
final class UpstreamPool {

  /**
   * The unsent bytes of a connection at which its source is resumed and paused; the defaults of
   * Netty.
   */
  static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

  /**
   * Share of the keep-alive time for which an idle connection is reused. The upstream closes idle
   * connections on its own schedule, and the margin covers the network delay.
   */
  private static final double MAX_KEEP_ALIVE_SHARE = 0.7;

  /** The share for a request that cannot be retried, which uses only recently used connections. */
  private static final double MAX_KEEP_ALIVE_SHARE_NON_IDEMPOTENT = 0.35;

  private static final AtomicLong CONNECTION_NUMBERS = new AtomicLong();

  private final BrokenPaths broken;
  private final UpstreamConnector connector;
  private final Timers timers;
  private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

  UpstreamPool(EventLoop loop, ForwardDependencies dependencies) {
    this.broken = dependencies.brokenPaths();
    this.timers = dependencies.timers();
    Function<UpstreamConnector.Target, UpstreamConnection> connections =
        target ->
            new UpstreamConnection(
                dependencies.dialect(),
                this,
                dependencies.buffers(),
                new ResponseMatcher(
                    dependencies.surplusLog(),
                    ConnectionUse.unused(
                        CONNECTION_NUMBERS.incrementAndGet(), target.upstream().incarnation())));
    this.connector =
        new PathConnector(
            loop,
            new DirectConnector(loop, connections, dependencies.workStats()),
            new RelayConnector(
                loop, dependencies.relayClient(), dependencies.relayCandidates(), connections),
            broken,
            dependencies.paths());
  }

  long nowMs() {
    return timers.nowMs();
  }

  /**
   * Acquires a connection.
   *
   * @param target what it is for
   * @param nonIdempotent true for a request that cannot be retried if the connection turns out to
   *     be dead
   * @param listener receives the connection
   */
  void acquire(
      UpstreamConnector.Target target, boolean nonIdempotent, UpstreamConnector.Listener listener) {
    double share = nonIdempotent ? MAX_KEEP_ALIVE_SHARE_NON_IDEMPOTENT : MAX_KEEP_ALIVE_SHARE;
    Deque<UpstreamConnection> connections =
        idleConnections.getOrDefault(target.upstream().incarnation(), new ArrayDeque<>());
    boolean silent = broken.isSilent(target.upstream());
    // A second response to an earlier attempt could not be told from the response to this one.
    boolean sentBefore =
        !connections.isEmpty() && connections.peekLast().use().hasCarried(target.requestId());
    UpstreamConnection newest = sentBefore ? null : connections.pollLast();
    if (newest != null && !silent && newest.isUsable(nowMs(), share) && !newest.hasInput()) {
      listener.onConnected(newest);
      return;
    }
    if (newest != null) {
      newest.close();
    }
    connector.connect(target, listener);
  }

  void release(UpstreamConnection connection) {
    idleConnections
        .computeIfAbsent(connection.incarnation(), name -> new ArrayDeque<>())
        .addLast(connection);
  }

  void remove(UpstreamConnection connection) {
    Deque<UpstreamConnection> connections = idleConnections.get(connection.incarnation());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Closes connections that have been idle for too long; called periodically. */
  void closeIdle() {
    long nowMs = nowMs();
    idleConnections
        .values()
        .forEach(
            connections ->
                connections.stream()
                    .filter(connection -> !connection.isUsable(nowMs, MAX_KEEP_ALIVE_SHARE))
                    .toList()
                    .forEach(UpstreamConnection::close));
    idleConnections.values().removeIf(Deque::isEmpty);
  }
}
