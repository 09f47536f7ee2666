package io.mothrill.wire.relay;

import io.mothrill.wire.connection.ConnectionEnd;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * Reads the frames of a relayed connection. Its end counts as the end of the upstream's connection
 * only after an empty frame; otherwise the relay has broken off, and a response that is delimited
 * by the end of its connection is not complete.
 */
final class RelayEndHandler extends ChannelInboundHandlerAdapter {

  private boolean ended;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (bytes.isReadable()) {
      ctx.fireChannelRead(bytes);
      return;
    }
    bytes.release();
    ended = true;
    ConnectionEnd.set(ctx.channel(), ConnectionEnd.Kind.END_OF_STREAM, "relayed");
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (!ended) {
      ctx.fireExceptionCaught(new IOException("relayed connection broke off"));
    }
    ctx.fireChannelInactive();
  }
}
