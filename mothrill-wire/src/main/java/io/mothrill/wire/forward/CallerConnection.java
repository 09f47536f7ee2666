package io.mothrill.wire.forward;

import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.request.ForwardCall;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** One connection of a caller: reads its requests one after the other and answers each. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerReply {

  /** Parts of later requests that are kept while one is being answered. */
  private static final int MAX_WAITING_PARTS = 64;

  private final ForwardParts parts;
  private final UpstreamPool pool;
  private final EdgeState edge;
  private final Deque<HttpObject> waiting = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private ForwardCall call;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private ForwardExchange exchange;
  private boolean keepAlive = true;
  private boolean refused;
  private long headMs;
  private long quietSinceMs;
  private boolean headStarted;

  CallerConnection(ForwardParts parts, UpstreamPool pool, EdgeState edge) {
    this.parts = parts;
    this.pool = pool;
    this.edge = edge;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    quietSinceMs = parts.timers().nowMs();
    edge.onOpened(this);
  }

  /** Notes that bytes have come, before they are decoded. */
  void onBytes() {
    if (exchange == null && head == null && !headStarted) {
      headStarted = true;
      quietSinceMs = parts.timers().nowMs();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject object = (HttpObject) message;
    if (refused) {
      ReferenceCountUtil.release(object);
      return;
    }
    if (exchange != null) {
      waiting.add(object);
      if (waiting.size() >= MAX_WAITING_PARTS) {
        ctx.channel().config().setAutoRead(false);
      }
      return;
    }
    take(object);
  }

  private void take(HttpObject object) {
    try {
      if (object.decoderResult().isFailure()) {
        refuse(ForwardRefusal.of(causeOf(object.decoderResult().cause())));
        return;
      }
      if (object instanceof HttpRequest request) {
        takeHead(request);
      }
      if (!refused && object instanceof HttpContent content) {
        takeContent(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private static Cause causeOf(Throwable error) {
    boolean tooLong =
        error instanceof TooLongHttpHeaderException || error instanceof TooLongHttpLineException;
    return tooLong ? Cause.HEAD_TOO_LONG : Cause.MALFORMED;
  }

  private void takeHead(HttpRequest request) {
    head = request;
    headMs = parts.timers().nowMs();
    headStarted = false;
    keepAlive = HttpUtil.isKeepAlive(request);
    body = Unpooled.EMPTY_BUFFER;
    try {
      call = parts.dialect().readCall(request);
    } catch (InvalidInputException ex) {
      refuse(ForwardRefusal.of(Cause.MALFORMED));
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > bounds().bodyBytes()) {
      refuse(ForwardRefusal.of(Cause.BODY_TOO_LONG));
    } else if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void takeContent(HttpContent content) {
    int length = content.content().readableBytes();
    if (length > 0) {
      if (body.readableBytes() + length > bounds().bodyBytes()) {
        refuse(ForwardRefusal.of(Cause.BODY_TOO_LONG));
        return;
      }
      if (!edge.tryKeep(length)) {
        refuse(ForwardRefusal.retryAfter(Cause.OUT_OF_MEMORY, EdgeState.MEMORY_RETRY_MS));
        return;
      }
      if (body == Unpooled.EMPTY_BUFFER) {
        body = context.alloc().heapBuffer(length);
      }
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      startExchange();
    }
  }

  private void startExchange() {
    if (edge.isRefusing()) {
      refuse(ForwardRefusal.retryAfter(Cause.LEAVING, EdgeState.LEAVING_RETRY_MS));
      return;
    }
    exchange =
        new ForwardExchange(
            new ForwardArrival(
                parts, pool, context.channel().eventLoop(), this, head, call, body, headMs));
    edge.onStarted();
    exchange.start();
  }

  private CallerBounds bounds() {
    return parts.plan().read().bounds();
  }

  /** Refuses a request that was not read whole; what follows it cannot be told apart any more. */
  private void refuse(ForwardRefusal refusal) {
    refused = true;
    releaseBody();
    keepAlive = false;
    write(
        HttpResponseStatus.valueOf(refusal.cause().status()),
        parts.dialect().ofRefusal(call, refusal),
        Unpooled.EMPTY_BUFFER);
  }

  private void releaseBody() {
    edge.release(body.readableBytes());
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  @Override
  public void sendWhole(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    boolean open = keepsOpen();
    write(status, headers, content);
    onAnswered(open);
  }

  private void write(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    markConnection(headers);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
    var written = context.writeAndFlush(response);
    if (!keepsOpen()) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private boolean keepsOpen() {
    return keepAlive && !edge.isLeaving();
  }

  private void markConnection(HttpHeaders headers) {
    if (!keepsOpen()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void startStream(HttpResponseStatus status, HttpHeaders headers) {
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    markConnection(headers);
    keepAlive = keepsOpen();
    context.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }

  @Override
  public void sendPart(byte[] bytes) {
    context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  @Override
  public void flush() {
    context.flush();
  }

  @Override
  public void endStream() {
    boolean open = keepsOpen();
    var written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!open) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    onAnswered(open);
  }

  @Override
  public void breakOff() {
    context.close();
    onAnswered(false);
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  private void onAnswered(boolean open) {
    edge.release(body.readableBytes());
    edge.onEnded();
    body = Unpooled.EMPTY_BUFFER;
    exchange = null;
    head = null;
    quietSinceMs = parts.timers().nowMs();
    if (open) {
      context.channel().eventLoop().execute(this::takeWaiting);
    } else {
      refused = true;
    }
  }

  private void takeWaiting() {
    while (exchange == null && !refused && !waiting.isEmpty()) {
      take(waiting.poll());
    }
    if (exchange == null) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.onWritability(ctx.channel().isWritable());
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    edge.onClosed(this);
    if (exchange != null) {
      exchange.onCallerGone();
      edge.release(body.readableBytes());
      edge.onEnded();
      exchange = null;
    } else if (!refused) {
      releaseBody();
    }
    refused = true;
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  /** Closes the connection if its caller is too slow or silent; called now and then. */
  void sweep(long nowMs) {
    context
        .channel()
        .eventLoop()
        .execute(
            () -> {
              if (exchange != null || refused) {
                return;
              }
              long quietMs = nowMs - quietSinceMs;
              if (head != null) {
                refuseIfSlow(nowMs - headMs);
              } else if (headStarted) {
                refuseIfHeadIsSlow(quietMs);
              } else if (quietMs > idleLimitMs()) {
                context.close();
              }
            });
  }

  private void refuseIfHeadIsSlow(long sinceFirstByteMs) {
    if (sinceFirstByteMs > bounds().headerTimeoutMs()) {
      refuse(ForwardRefusal.of(Cause.SENT_TOO_SLOWLY));
    }
  }

  private void refuseIfSlow(long sinceHeadMs) {
    long allowedMs = call == null ? 0 : call.deadlineMs().orElse(bounds().idleTimeoutMs());
    if (sinceHeadMs > Math.min(allowedMs, bounds().idleTimeoutMs())) {
      refuse(ForwardRefusal.of(Cause.SENT_TOO_SLOWLY));
    }
  }

  void close() {
    context.close();
  }

  private long idleLimitMs() {
    return edge.isLeaving() ? EdgeState.LEAVING_IDLE_MS : bounds().idleTimeoutMs();
  }
}
