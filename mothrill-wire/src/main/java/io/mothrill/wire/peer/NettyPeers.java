package io.mothrill.wire.peer;

import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.peer.generated.Envelope;
import io.mothrill.wire.time.TimeoutAfterReads;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Exchanges messages with peers over one connection per peer, which carries many concurrent
 * requests.
 *
 * <p>Replies are matched by correlation id only, so they may arrive in any order. A connection on
 * which a request timed out is replaced, because it may be dead although new connections work.
 */
public final class NettyPeers implements PeerLinks {

  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoopGroup group;
  private final PeerCodec codec;
  private final PeerDispatcher dispatcher;
  private final PathOpener pathOpener;
  private final WorkStats work;
  private final Bootstrap bootstrap;
  private final Channel listener;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<Address, CompletableFuture<Channel>> connections = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<PeerMessage>> pendingReplies =
      new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();

  /**
   * Starts listening for peers.
   *
   * @param group the event loops
   * @param codec serializes and parses messages
   * @param dispatcher handles requests from peers
   * @param pathOpener takes over connections that are to be relayed to upstreams
   * @param host an IP address
   * @param port a TCP port; 0 for any
   * @param work records the work spent on messages
   */
  public NettyPeers(
      EventLoopGroup group,
      PeerCodec codec,
      PeerDispatcher dispatcher,
      PathOpener pathOpener,
      String host,
      int port,
      WorkStats work) {
    this.group = group;
    this.codec = codec;
    this.dispatcher = dispatcher;
    this.pathOpener = pathOpener;
    this.work = work;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(initializer());
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer())
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  private ChannelInitializer<SocketChannel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channels.add(channel);
        channel.pipeline().addLast(new WorkMeter(work, WorkKind.PEER));
        codec.addTo(channel.pipeline());
        channel.pipeline().addLast(new EnvelopeHandler());
      }
    };
  }

  /**
   * Returns the port.
   *
   * @return the listening port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      InstanceRecord peer, PeerMessage request, long timeoutMs) {
    Address to = new Address(peer.host(), peer.peerPort());
    long id = nextId.incrementAndGet();
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    pendingReplies.put(id, reply);
    Envelope envelope = codec.encodeRequest(request, id);
    CompletableFuture<Channel> connection = connection(to);
    var timeout =
        group.schedule(
            () -> failAfterReads(connection, () -> fail(id, peer, to, "timeout")),
            timeoutMs,
            TimeUnit.MILLISECONDS);
    connection.whenComplete(
        (channel, error) -> {
          if (error == null) {
            channel.writeAndFlush(envelope);
          } else if (Failures.unwrap(error) instanceof ConnectException) {
            failWith(id, to, PeerException.connectionRefused(peer.id()));
          } else {
            fail(id, peer, to, String.valueOf(error.getMessage()));
          }
        });
    return reply.whenComplete((message, error) -> timeout.cancel(false));
  }

  private void failAfterReads(CompletableFuture<Channel> connection, Runnable timeout) {
    boolean isOpen = connection.isDone() && !connection.isCompletedExceptionally();
    var unused =
        TimeoutAfterReads.run(isOpen ? connection.join().eventLoop() : group.next(), timeout);
  }

  private void fail(long id, InstanceRecord peer, Address to, String detail) {
    failWith(id, to, PeerException.noReply(peer.id(), detail));
  }

  private void failWith(long id, Address to, PeerException error) {
    CompletableFuture<PeerMessage> reply = pendingReplies.remove(id);
    if (reply != null) {
      CompletableFuture<Channel> failedConnection = connections.remove(to);
      if (failedConnection != null) {
        failedConnection.thenAccept(Channel::close);
      }
      reply.completeExceptionally(error);
    }
  }

  private CompletableFuture<Channel> connection(Address to) {
    return connections.compute(
        to,
        (address, existing) -> {
          boolean usable =
              existing != null
                  && !existing.isCompletedExceptionally()
                  && (!existing.isDone() || existing.join().isActive());
          return usable ? existing : connect(address);
        });
  }

  private CompletableFuture<Channel> connect(Address to) {
    CompletableFuture<Channel> connected = new CompletableFuture<>();
    bootstrap
        .connect(to.toSocketAddress())
        .addListener(
            (ChannelFuture future) -> {
              if (future.isSuccess()) {
                connected.complete(future.channel());
              } else {
                connected.completeExceptionally(future.cause());
              }
            });
    return connected;
  }

  /** Stops listening and closes all connections. */
  public void close() {
    listener.close().syncUninterruptibly();
    channels.close();
  }

  private final class EnvelopeHandler extends SimpleChannelInboundHandler<Envelope> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
      if (envelope.getReply()) {
        CompletableFuture<PeerMessage> reply = pendingReplies.remove(envelope.getCorrelationId());
        if (reply != null) {
          complete(reply, envelope);
        }
        return;
      }
      PeerMessage request = codec.decode(envelope);
      Consumer<PeerMessage> sender =
          reply -> ctx.writeAndFlush(codec.encodeReply(reply, envelope.getCorrelationId()));
      if (request instanceof PeerMessage.OpenPath open) {
        pathOpener.open(
            open,
            ctx.channel(),
            outcome -> sender.accept(new PeerMessage.PathReply(outcome)),
            () -> stopReadingMessages(ctx));
      } else {
        dispatcher.dispatch(request).thenAccept(sender);
      }
    }

    /** Fails the request if the reply is malformed; otherwise its sender would wait forever. */
    private void complete(CompletableFuture<PeerMessage> reply, Envelope envelope) {
      try {
        reply.complete(codec.decode(envelope));
      } catch (RuntimeException ex) {
        reply.completeExceptionally(ex);
      }
    }

    private void stopReadingMessages(ChannelHandlerContext ctx) {
      ctx.pipeline().remove(this);
      codec.removeFrom(ctx.pipeline());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Logger.debug("peer connection failed: {}", cause.getMessage());
      ctx.close();
    }
  }
}
