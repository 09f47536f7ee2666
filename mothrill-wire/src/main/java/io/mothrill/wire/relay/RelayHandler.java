package io.mothrill.wire.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;

/**
 * Passes what one connection receives on to another one on the same event loop, and reads no faster
 * than the other one sends.
 */
final class RelayHandler extends ChannelInboundHandlerAdapter {

  /** How the end of a connection is passed on. */
  interface End {

    /**
     * Passes on the end of a connection.
     *
     * @param target the other connection
     * @param lastWrite completed once everything that was received has been sent
     * @param failed true unless the end of the stream was read
     */
    void pass(Channel target, ChannelFuture lastWrite, boolean failed);
  }

  /** An upstream sees that the connection was closed. */
  static final End CLOSE = (target, lastWrite, failed) -> target.close();

  /**
   * The other instance gets an empty frame, which a connection that breaks off does not deliver.
   */
  static final End EMPTY_FRAME =
      (target, lastWrite, failed) ->
          (failed ? lastWrite : target.writeAndFlush(Unpooled.EMPTY_BUFFER))
              .addListener(ChannelFutureListener.CLOSE);

  private final Channel target;
  private final End end;
  private ChannelFuture lastWrite;
  private boolean failed;

  RelayHandler(Channel target, End end) {
    this.target = target;
    this.end = end;
    this.lastWrite = target.newSucceededFuture();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    lastWrite = target.write(message);
    ctx.channel().config().setAutoRead(target.isWritable() || isOutputShutdown(target));
  }

  private static boolean isOutputShutdown(Channel channel) {
    return channel instanceof DuplexChannel duplex && duplex.isOutputShutdown();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    target.flush();
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    target.config().setAutoRead(ctx.channel().isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelOutputShutdownEvent) {
      // Unread bytes would reset the other connection when it is closed, and what was sent there
      // might not arrive.
      target.config().setAutoRead(true);
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    failed = true;
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    end.pass(target, lastWrite, failed);
  }
}
