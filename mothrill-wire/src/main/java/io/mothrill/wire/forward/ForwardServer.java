package io.mothrill.wire.forward;

import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkKind;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The HTTP server for callers whose requests are forwarded.
 *
 * <pre>{@code
 * ForwardServer server = new ForwardServer(group, dependencies, listener);
 * server.startDraining();
 * }</pre>
 */
public final class ForwardServer {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final long IDLE_CHECK_INTERVAL_MS = 500;

  /**
   * Maximum number of connections accepted at a time. A process that has just started finds its
   * accept queue full; accepting a few at a time, it would read the last of them seconds later.
   */
  private static final int MAX_ACCEPTS_PER_TURN = 256;

  /** Maximum number of reads from one caller at a time, so that a long body holds up no others. */
  private static final int MAX_READS_PER_TURN = 16;

  private final ForwardDependencies dependencies;
  private final ForwardServerState state;
  private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();
  private final Map<EventLoop, RequestStarter> starters = new ConcurrentHashMap<>();
  private final Channel listener;

  /**
   * Creates the server and starts accepting callers.
   *
   * @param group the event loops
   * @param dependencies the dependencies of requests
   * @param socket the listening socket
   */
  public ForwardServer(
      EventLoopGroup group, ForwardDependencies dependencies, CallerListener socket) {
    this.dependencies = dependencies;
    this.state = new ForwardServerState(dependencies.buffers());
    Timers timers = dependencies.timers();
    timers.every(IDLE_CHECK_INTERVAL_MS, () -> closeIdleConnections(timers.nowMs()));
    this.listener = newBootstrap(group, socket).register().syncUninterruptibly().channel();
  }

  private ServerBootstrap newBootstrap(EventLoopGroup group, CallerListener socket) {
    return new ServerBootstrap()
        .group(group)
        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamPool.WATER_MARK)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingUntilEmpty())
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                initCaller(channel);
              }
            });
  }

  /**
   * Reads a caller's socket until it is empty, so that a close behind a request is known together
   * with the request.
   */
  private static RecvByteBufAllocator readingUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_TURN);
  }

  private void initCaller(SocketChannel channel) {
    UpstreamPool pool =
        pools.computeIfAbsent(channel.eventLoop(), loop -> new UpstreamPool(loop, dependencies));
    RequestStarter starter =
        starters.computeIfAbsent(
            channel.eventLoop(),
            loop -> new RequestStarter(loop, dependencies.timers(), dependencies.workStats()));
    CallerConnection connection = new CallerConnection(dependencies, pool, starter, state);
    int headerBytes = dependencies.plan().read().bounds().headerBytes();
    channel
        .pipeline()
        .addLast(new WorkMeter(dependencies.workStats(), WorkKind.CALLER))
        .addLast(new ReadListener(connection))
        .addLast(new StrictRequestDecoder(MAX_LINE_BYTES, headerBytes))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  private static final class ReadListener extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ReadListener(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.onBytesRead();
      ctx.fireChannelRead(message);
    }
  }

  private void closeIdleConnections(long nowMs) {
    state.connections().forEach(connection -> connection.closeIfTimedOut(nowMs));
    pools.forEach((loop, pool) -> loop.execute(pool::closeIdle));
  }

  /**
   * Returns the listening port.
   *
   * @return the port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Starts draining: connections are closed after their responses. Requests are still served,
   * except those that may run only once and might not end in time.
   *
   * @param endMs when requests must have ended
   */
  public void startDraining(long endMs) {
    state.startDraining(endMs);
    state.connections().forEach(caller -> caller.runWithRequest(ForwardExchange::onLeaving));
  }

  /**
   * Refuses all new requests as not run, while requests in flight continue.
   *
   * <p>A load balancer that knows no other instance keeps sending callers to an instance that is
   * draining, and requests that arrive late would be cut off by the end of the process. Callers
   * that are told early that their request was not run retry once the next process is available.
   */
  public void refuseNew() {
    state.refuseNew();
    listener.close();
  }

  /**
   * Ends all requests in flight: those whose answers have begun are broken off, all others get a
   * final answer.
   *
   * @return a future that completes when the answers are written
   */
  public CompletableFuture<Void> endRequests() {
    refuseNew();
    return CompletableFuture.allOf(
        state.connections().stream()
            .map(caller -> caller.runWithRequest(ForwardExchange::endLeaving))
            .toArray(CompletableFuture[]::new));
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return a count
   */
  public int inFlightCount() {
    return state.inFlightCount();
  }

  /**
   * Returns the number of received requests that wait to be started.
   *
   * @return a count
   */
  public int waitingToStartCount() {
    return starters.values().stream().mapToInt(RequestStarter::waitingCount).sum();
  }

  /**
   * Returns the number of open caller connections.
   *
   * @return a count
   */
  public int connectionCount() {
    return state.connections().size();
  }

  /** Stops listening and closes all connections. */
  public void close() {
    listener.close();
    state.connections().forEach(CallerConnection::close);
  }
}
