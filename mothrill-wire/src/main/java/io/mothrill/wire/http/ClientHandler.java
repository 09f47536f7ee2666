package io.mothrill.wire.http;

import io.mothrill.wire.connection.ConnectionEnd;
import io.mothrill.wire.connection.DeliveryCheck;
import io.mothrill.wire.response.ResponseDecoder;
import io.mothrill.wire.response.ResponseHeadCheck;
import io.mothrill.wire.time.TimeoutAfterReads;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Handles one client connection and passes the response of the current call to its sink. */
final class ClientHandler extends SimpleChannelInboundHandler<HttpObject> {

  static final String NAME = "mothrill-client";

  private static final long NANOS_PER_MS = 1_000_000;

  private final ResponseDecoder decoder;
  private ChannelHandlerContext context;
  private HttpSink sink;
  private int callCount;
  private Runnable returnToPool;
  private boolean keepAlive;
  private boolean hasContent;
  private boolean selfDelimited;
  private boolean endsWithResponse;
  private ChannelFuture written;
  private long stallMs;
  private volatile long lastReadNanos = System.nanoTime();
  private Future<?> watchdog;

  ClientHandler(ResponseDecoder decoder) {
    this.decoder = decoder;
  }

  /**
   * Returns the handler of a connection, or empty when the connection is closed.
   *
   * <p>The pipeline of a closed channel has no handlers. Dereferencing the missing handler would
   * abort the cancellation of a call halfway, and its caller would never get a response.
   */
  static Optional<ClientHandler> find(Channel connection) {
    return Optional.ofNullable((ClientHandler) connection.pipeline().get(NAME));
  }

  @Override
  public void handlerAdded(ChannelHandlerContext newContext) {
    this.context = newContext;
  }

  /** Checks whether a call was sent on the connection. */
  boolean isUsed() {
    return callCount > 0;
  }

  long idleNanos() {
    return System.nanoTime() - lastReadNanos;
  }

  void startCall(HttpCall call, HttpSink newSink, Runnable newReturnToPool) {
    callCount++;
    decoder.expectResponse(call.method());
    this.sink = newSink;
    this.returnToPool = newReturnToPool;
    this.stallMs = call.stallMs();
    this.hasContent = call.body().length > 0;
    this.lastReadNanos = System.nanoTime();
    scheduleWatchdog(stallMs);
  }

  /** Writes the request of the call that was started. */
  void write(FullHttpRequest request) {
    written = context.channel().writeAndFlush(request);
  }

  /**
   * Schedules the check that fails a call on a silent connection.
   *
   * <p>A middlebox may have lost the state of the connection. The call would then wait forever,
   * although new connections work, so only this connection is closed. Silence does not count while
   * reading is paused for a slow caller.
   */
  private void scheduleWatchdog(long delayMs) {
    long dueNanos = System.nanoTime() + delayMs * NANOS_PER_MS;
    watchdog =
        context
            .executor()
            .schedule(() -> checkSilence(dueNanos, false), delayMs, TimeUnit.MILLISECONDS);
  }

  private void checkSilence(long dueNanos, boolean hasRead) {
    long silentMs = idleNanos() / NANOS_PER_MS;
    if (!context.channel().config().isAutoRead()) {
      lastReadNanos = System.nanoTime();
      scheduleWatchdog(stallMs);
    } else if (silentMs < stallMs) {
      scheduleWatchdog(stallMs - silentMs);
    } else if (hasRead) {
      long lateMs = (System.nanoTime() - dueNanos) / NANOS_PER_MS;
      fail("silent for " + silentMs + " ms, checked " + lateMs + " ms late");
    } else {
      watchdog = TimeoutAfterReads.run(context.executor(), () -> checkSilence(dueNanos, true));
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    lastReadNanos = System.nanoTime();
    if (sink == null) {
      // No call is in progress: this is a late response to an earlier call, or surplus data.
      ctx.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail("answer is not HTTP");
      return;
    }
    if (message instanceof HttpResponse head) {
      ResponseHeadCheck.Result check = ResponseHeadCheck.check(head, callCount == 1);
      if (check == ResponseHeadCheck.Result.JOINED) {
        fail("head may be joined from two answers");
        return;
      }
      selfDelimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
      keepAlive = HttpUtil.isKeepAlive(head) && check == ResponseHeadCheck.Result.SINGLE;
      if (!sink.onHead(head)) {
        detachSink();
        ctx.close();
        return;
      }
    }
    if (message instanceof HttpContent content) {
      onContent(content);
    }
  }

  private void onContent(HttpContent content) {
    if (sink != null && content.content().isReadable()) {
      sink.onBody(ByteBufUtil.getBytes(content.content()));
    }
    if (sink != null && content instanceof LastHttpContent) {
      if (hasContent && endsWithConnection()) {
        endsWithResponse = true;
        DeliveryCheck.check(context.channel(), written, this::onDeliveryChecked);
      } else {
        end();
      }
    }
  }

  private boolean endsWithConnection() {
    return !selfDelimited && ConnectionEnd.of(context.channel()).isPresent();
  }

  private void onDeliveryChecked(boolean delivered) {
    if (sink == null) {
      return;
    }
    if (delivered) {
      end();
    } else {
      fail("connection closed before the request was taken");
    }
  }

  private void end() {
    HttpSink ended = detachSink();
    if (keepAlive
        && decoder.undecodedBytes() == 0
        && ConnectionEnd.of(context.channel()).isEmpty()) {
      returnToPool.run();
    } else {
      context.close();
    }
    ended.onEnd();
  }

  private HttpSink detachSink() {
    HttpSink released = sink;
    sink = null;
    if (watchdog != null) {
      watchdog.cancel(false);
    }
    return released;
  }

  /** Closes the connection without notifying the sink, unless it carries another call by now. */
  void abort(HttpSink cancelled) {
    context
        .executor()
        .execute(
            () -> {
              if (sink == cancelled) {
                detachSink();
                context.close();
              }
            });
  }

  private void fail(String detail) {
    HttpSink failed = detachSink();
    context.close();
    if (failed != null) {
      failed.onFailure(true, detail);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE && !endsWithResponse) {
      ctx.close();
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail("connection closed before the answer was whole");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(String.valueOf(cause.getMessage()));
  }
}
