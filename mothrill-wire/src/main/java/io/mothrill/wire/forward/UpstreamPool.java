package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.path.PathFailure;
import io.mothrill.core.forward.path.UpstreamPaths;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The connections to upstreams of one event loop; all methods are called on that loop. */
final class UpstreamPool {

  /**
   * The unsent bytes of a connection at which its source is resumed and paused; the defaults of
   * Netty.
   */
  static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /**
   * Share of the keep-alive time for which an idle connection is reused. The upstream closes idle
   * connections on its own schedule, and the margin covers the network delay.
   */
  private static final double MAX_KEEP_ALIVE_SHARE = 0.7;

  /** The share for a request that cannot be retried, which uses only recently used connections. */
  private static final double MAX_KEEP_ALIVE_SHARE_NON_IDEMPOTENT = 0.35;

  private final EventLoop loop;
  private final Dialect dialect;
  private final BufferBudget buffers;
  private final UpstreamPaths paths;
  private final Timers timers;
  private final WorkStats workStats;
  private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

  UpstreamPool(
      EventLoop loop,
      Dialect dialect,
      BufferBudget buffers,
      UpstreamPaths paths,
      Timers timers,
      WorkStats workStats) {
    this.loop = loop;
    this.dialect = dialect;
    this.buffers = buffers;
    this.paths = paths;
    this.timers = timers;
    this.workStats = workStats;
  }

  long nowMs() {
    return timers.nowMs();
  }

  /**
   * Acquires a connection.
   *
   * @param upstream the upstream to connect to
   * @param nonIdempotent true for a request that cannot be retried if the connection turns out to
   *     be dead
   * @param connectTimeoutMs how long a new connection may take
   * @param onConnected receives the connection
   * @param onFailed receives the error when no connection could be established; nothing has reached
   *     the upstream then
   */
  void acquire(
      RegisteredUpstream upstream,
      boolean nonIdempotent,
      int connectTimeoutMs,
      Consumer<UpstreamConnection> onConnected,
      Consumer<Throwable> onFailed) {
    double share = nonIdempotent ? MAX_KEEP_ALIVE_SHARE_NON_IDEMPOTENT : MAX_KEEP_ALIVE_SHARE;
    Deque<UpstreamConnection> connections =
        idleConnections.getOrDefault(upstream.incarnation(), new ArrayDeque<>());
    UpstreamConnection newest = connections.pollLast();
    if (newest != null && newest.isUsable(nowMs(), share)) {
      onConnected.accept(newest);
      return;
    }
    if (newest != null) {
      newest.close();
    }
    connect(upstream, connectTimeoutMs, onConnected, onFailed);
  }

  private void connect(
      RegisteredUpstream upstream,
      int connectTimeoutMs,
      Consumer<UpstreamConnection> onConnected,
      Consumer<Throwable> onFailed) {
    UpstreamConnection connection =
        new UpstreamConnection(dialect, this, buffers, upstream.incarnation());
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new LimitedReads(connection::maxReadBytes))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new WorkMeter(workStats, WorkKind.UPSTREAM))
                    .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                    .addLast(connection);
              }
            })
        .connect(upstream.host(), upstream.port())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                // Runs after the reads of this turn, in which the caller's close may be found.
                loop.execute(() -> onConnected.accept(connection));
              } else {
                paths.onFailure(
                    upstream,
                    ConnectErrors.isConnectionRefused(connected.cause())
                        ? PathFailure.REFUSED
                        : PathFailure.TIMED_OUT);
                onFailed.accept(connected.cause());
              }
            });
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
