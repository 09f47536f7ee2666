package io.mothrill.wire.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes what one connection receives on to another one on the same event loop, and reads no faster
 * than the other one sends.
 */
final class RelayHandler extends ChannelInboundHandlerAdapter {

  /** How the end of a connection is passed on. */
  interface End {
    void pass(Channel target);
  }

  /** An upstream sees that the connection was closed. */
  static final End CLOSE = Channel::close;

  /**
   * The other instance gets an empty frame, which a connection that breaks off does not deliver.
   */
  static final End EMPTY_FRAME =
      target ->
          target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);

  private final Channel target;
  private final End cleanEnd;
  private boolean failed;

  RelayHandler(Channel target, End cleanEnd) {
    this.target = target;
    this.cleanEnd = cleanEnd;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    target.write(message);
    ctx.channel().config().setAutoRead(target.isWritable());
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
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    failed = true;
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (failed) {
      target.close();
    } else {
      cleanEnd.pass(target);
    }
  }
}
