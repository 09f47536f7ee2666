package io.mothrill.wire.relay;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.path.PathService;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.connection.ConnectionEndHandler;
import io.mothrill.wire.connection.ReceivingSocketChannel;
import io.mothrill.wire.http.ConnectErrors;
import io.mothrill.wire.peer.PathOpener;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Connects to upstreams for other instances and relays the bytes of these connections. */
public final class RelayAcceptor implements PathOpener {

  /** Tens of round trips between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 200;

  /** Keeps descriptors and memory for callers of this instance. */
  private static final int MAX_OPEN = 256;

  private static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(16 << 10, 32 << 10);

  private final PathService paths;
  private final WorkStats work;
  private final AtomicInteger openCount = new AtomicInteger();
  private final AtomicLong acceptedCount = new AtomicLong();

  /**
   * Creates an acceptor without connections.
   *
   * @param paths decides which upstreams this instance may connect to for others
   * @param work records the work spent on connections
   */
  public RelayAcceptor(PathService paths, WorkStats work) {
    this.paths = paths;
    this.work = work;
  }

  @Override
  public void open(
      PeerMessage.OpenPath request, Channel from, Consumer<PathOutcome> reply, Runnable onStarted) {
    Optional<RegisteredUpstream> upstream = paths.findReachable(request.incarnation());
    if (upstream.isEmpty() || openCount.get() >= MAX_OPEN) {
      reply.accept(PathOutcome.UNKNOWN);
      return;
    }
    openCount.incrementAndGet();
    KeepAlive.enable(from);
    from.closeFuture().addListener(closed -> openCount.decrementAndGet());
    connect(upstream.get(), from)
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                reply.accept(paths.withDoubts(ConnectErrors.outcomeOf(connected.cause())));
              } else if (!from.isActive()) {
                connected.channel().close();
              } else {
                reply.accept(PathOutcome.REACHED);
                onStarted.run();
                link(from, connected.channel());
                acceptedCount.incrementAndGet();
                Logger.debug(
                    "connection relayed id={} upstream={} from={}",
                    request.requestId(),
                    request.incarnation(),
                    from.remoteAddress());
              }
            });
  }

  private ChannelFuture connect(RegisteredUpstream upstream, Channel from) {
    return new Bootstrap()
        .group(from.eventLoop())
        .channel(ReceivingSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new WorkMeter(work, WorkKind.PEER));
              }
            })
        .connect(upstream.host(), upstream.port());
  }

  static void link(Channel from, Channel upstream) {
    from.config().setWriteBufferWaterMark(WATER_MARK);
    ChannelPipeline pipeline = from.pipeline();
    RelayFrames.addEncoder(pipeline);
    pipeline.addLast(new RelayHandler(upstream, RelayHandler.CLOSE));
    upstream
        .pipeline()
        .addLast(new ConnectionEndHandler())
        .addLast(new UpstreamEndHandler())
        .addLast(new RelayHandler(from, RelayHandler.EMPTY_FRAME));
    upstream.config().setAutoRead(true);
  }

  /**
   * Returns the number of connections that are relayed for other instances.
   *
   * @return a count
   */
  public int openCount() {
    return openCount.get();
  }

  /**
   * Returns the number of connections relayed since the start.
   *
   * @return a count
   */
  public long acceptedCount() {
    return acceptedCount.get();
  }
}
