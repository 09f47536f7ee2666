package io.mothrill.wire.relay;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.connection.ReceivingSocketChannel;
import io.mothrill.wire.peer.PeerCodec;
import io.mothrill.wire.peer.generated.Envelope;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Opens connections to upstreams through other instances. */
public final class RelayClient {

  private final PeerCodec codec;
  private final WorkStats work;

  /**
   * Creates a client.
   *
   * @param codec serializes messages
   * @param work records the work spent on connections
   */
  public RelayClient(PeerCodec codec, WorkStats work) {
    this.codec = codec;
    this.work = work;
  }

  /**
   * What is needed of a relayed connection.
   *
   * @param upstream the upstream at its end
   * @param requestId the request for which it is opened
   * @param timeoutMs how long it may take
   * @param loop its event loop
   * @param reads allocates its read buffers
   * @param waterMark its limits of unsent bytes
   * @param install adds the handlers that get the bytes of the upstream
   */
  public record Target(
      RegisteredUpstream upstream,
      String requestId,
      int timeoutMs,
      EventLoop loop,
      RecvByteBufAllocator reads,
      WriteBufferWaterMark waterMark,
      Consumer<ChannelPipeline> install) {}

  /**
   * Opens a connection.
   *
   * @param relay the instance that relays it
   * @param target the connection
   * @param onOpened receives the channel, on its event loop
   * @param onFailed receives what the other instance has found out; nothing has reached the
   *     upstream
   */
  public void open(
      InstanceRecord relay,
      Target target,
      Consumer<Channel> onOpened,
      Consumer<PathOutcome> onFailed) {
    Opening opening = new Opening(target, onOpened, onFailed);
    new Bootstrap()
        .group(target.loop())
        .channel(ReceivingSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, target.timeoutMs())
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, target.waterMark())
        .option(ChannelOption.RECVBUF_ALLOCATOR, target.reads())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new WorkMeter(work, WorkKind.PEER));
                codec.addTo(channel.pipeline());
                channel.pipeline().addLast(opening);
              }
            })
        .connect(relay.host(), relay.peerPort())
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                opening.fail(PathOutcome.UNKNOWN);
              }
            });
  }

  /** Waits for the reply of the other instance; confined to the event loop of the connection. */
  private final class Opening extends SimpleChannelInboundHandler<Envelope> {
    private final Target target;
    private final Consumer<Channel> onOpened;
    private final Consumer<PathOutcome> onFailed;
    private boolean done;

    Opening(Target target, Consumer<Channel> onOpened, Consumer<PathOutcome> onFailed) {
      this.target = target;
      this.onOpened = onOpened;
      this.onFailed = onFailed;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      target.loop().schedule(() -> giveUp(ctx), target.timeoutMs(), TimeUnit.MILLISECONDS);
      ctx.writeAndFlush(
          codec.encode(
              new PeerMessage.OpenPath(target.upstream().incarnation(), target.requestId())));
    }

    private void giveUp(ChannelHandlerContext ctx) {
      if (!done) {
        fail(PathOutcome.UNKNOWN);
        ctx.close();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
      PathOutcome outcome =
          codec.decode(envelope) instanceof PeerMessage.PathReply reply
              ? reply.outcome()
              : PathOutcome.UNKNOWN;
      if (done || outcome != PathOutcome.REACHED) {
        fail(outcome);
        ctx.close();
        return;
      }
      done = true;
      KeepAlive.enable(ctx.channel());
      ChannelPipeline pipeline = ctx.pipeline();
      RelayFrames.addDecoder(pipeline);
      target.install().accept(pipeline);
      pipeline.remove(this);
      codec.removeFrom(pipeline);
      onOpened.accept(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail(PathOutcome.UNKNOWN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    private void fail(PathOutcome outcome) {
      if (!done) {
        done = true;
        onFailed.accept(outcome);
      }
    }
  }
}
