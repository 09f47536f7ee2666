package io.mothrill.wire.work;

import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Measures the traffic and processing time of one connection. It must be the first handler of the
 * pipeline, so that the processing time of all other handlers is included.
 */
public final class WorkMeter extends ChannelDuplexHandler {

  private final WorkStats work;
  private final WorkKind kind;

  /**
   * Creates the handler.
   *
   * @param work records the measurements
   * @param kind the kind of work of the connection
   */
  public WorkMeter(WorkStats work, WorkKind kind) {
    this.work = work;
    this.kind = kind;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    work.onOpened(kind);
    timed(ctx::fireChannelActive);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    work.onReceived(kind, bytesOf(message));
    timed(() -> ctx.fireChannelRead(message));
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    work.onSent(kind, bytesOf(message));
    ctx.write(message, promise);
  }

  private void timed(Runnable task) {
    long startNanos = System.nanoTime();
    task.run();
    work.onTurn(kind, System.nanoTime() - startNanos);
  }

  private static long bytesOf(Object message) {
    if (message instanceof ByteBuf bytes) {
      return bytes.readableBytes();
    }
    return message instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
  }
}
