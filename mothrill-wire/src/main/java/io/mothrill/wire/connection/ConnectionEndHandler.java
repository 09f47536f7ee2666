package io.mothrill.wire.connection;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/**
 * Records how a connection ends; precedes the handlers that interpret what is received.
 *
 * <p>Handlers that follow get an {@link IOException} before the connection becomes inactive, unless
 * the end of the stream has been read. A response that is delimited by the end of its connection is
 * complete only then. Without half-closure, Netty reports both alike. A handler that follows closes
 * the connection after the end of the stream.
 */
public final class ConnectionEndHandler extends ChannelDuplexHandler {

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    ctx.write(message, promise.unvoid())
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                onWriteFailed(ctx, written.cause());
              }
            });
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    ConnectionEnd.set(ctx.channel(), ConnectionEnd.Kind.CLOSED_LOCALLY, "");
    ctx.close(promise);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      record(ctx, ConnectionEnd.Kind.READ_FAILED, cause);
    }
    ctx.fireExceptionCaught(cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE) {
      ConnectionEnd.set(ctx.channel(), ConnectionEnd.Kind.END_OF_STREAM, "");
      if (ConnectionEnd.of(ctx.channel()).filter(ConnectionEnd::isComplete).isPresent()) {
        ctx.fireUserEventTriggered(event);
      } else {
        ctx.close();
      }
    } else {
      ctx.fireUserEventTriggered(event);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ConnectionEnd.set(ctx.channel(), ConnectionEnd.Kind.CLOSED_LOCALLY, "");
    ConnectionEnd.of(ctx.channel())
        .filter(end -> !end.isComplete())
        .ifPresent(end -> ctx.fireExceptionCaught(new IOException(end.describe())));
    ctx.fireChannelInactive();
  }

  /** A write also fails because the connection is closed already, by this side. */
  private static void onWriteFailed(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof ClosedChannelException)) {
      record(ctx, ConnectionEnd.Kind.WRITE_FAILED, cause);
    }
  }

  /** Netty may wrap the error of the system. */
  private static void record(ChannelHandlerContext ctx, ConnectionEnd.Kind kind, Throwable cause) {
    Throwable error = cause.getCause() == null ? cause : cause.getCause();
    ConnectionEnd.set(ctx.channel(), kind, String.valueOf(error.getMessage()));
  }
}
