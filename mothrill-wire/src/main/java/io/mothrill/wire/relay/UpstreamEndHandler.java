package io.mothrill.wire.relay;

import io.mothrill.wire.connection.DeliveryCheck;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;

/**
 * Ends the relayed connection to an upstream that has ended its output, once the upstream has taken
 * what was relayed to it. An upstream that takes no more of it fails the connection.
 *
 * <p>How long a request is isn't known here; one that pauses longer than the check takes to be
 * decided is taken for complete.
 */
final class UpstreamEndHandler extends ChannelDuplexHandler {

  private ChannelFuture lastWrite;

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    lastWrite = ctx.write(message, promise.unvoid());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE) {
      onEnd(ctx);
    }
    ctx.fireUserEventTriggered(event);
  }

  private void onEnd(ChannelHandlerContext ctx) {
    if (lastWrite == null) {
      ctx.close();
    } else {
      checkDelivery(ctx, lastWrite);
    }
  }

  private void checkDelivery(ChannelHandlerContext ctx, ChannelFuture checked) {
    DeliveryCheck.check(
        ctx.channel(), checked, delivered -> onDeliveryChecked(ctx, checked, delivered));
  }

  private void onDeliveryChecked(
      ChannelHandlerContext ctx, ChannelFuture checked, boolean delivered) {
    if (delivered && lastWrite != checked) {
      checkDelivery(ctx, lastWrite);
    } else if (delivered) {
      ctx.close();
    } else {
      ctx.fireExceptionCaught(new IOException("upstream has not taken the request"));
    }
  }
}
