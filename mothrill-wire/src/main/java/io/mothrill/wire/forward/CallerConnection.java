package io.mothrill.wire.forward;

import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.request.ForwardCall;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** The connection of one caller: reads its requests one after the other and responds to each. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponse {

  /**
   * Maximum number of HTTP objects of pipelined requests that are queued while a request is in
   * flight.
   */
  private static final int MAX_PIPELINED_OBJECTS = 64;

  private final ForwardDependencies dependencies;
  private final UpstreamPool pool;
  private final RequestStarter starter;
  private final ForwardServerState serverState;
  private final ConnectionBuffer unsent;
  private final Deque<HttpObject> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private ForwardCall call;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private int reservedBytes;
  private ForwardExchange exchange;
  private boolean keepAlive = true;
  private boolean closing;
  private long headMs;
  private long idleSinceMs;
  private boolean headStarted;

  CallerConnection(
      ForwardDependencies dependencies,
      UpstreamPool pool,
      RequestStarter starter,
      ForwardServerState serverState) {
    this.dependencies = dependencies;
    this.pool = pool;
    this.starter = starter;
    this.serverState = serverState;
    this.unsent = dependencies.buffers().newBuffer();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    idleSinceMs = dependencies.timers().nowMs();
    serverState.onConnectionOpened(this);
  }

  /** Records that bytes were received, before they are decoded. */
  void onBytesRead() {
    if (exchange == null && head == null && !headStarted) {
      headStarted = true;
      idleSinceMs = dependencies.timers().nowMs();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject object = (HttpObject) message;
    if (closing) {
      ReferenceCountUtil.release(object);
      return;
    }
    if (exchange != null) {
      pipelined.add(object);
      if (pipelined.size() >= MAX_PIPELINED_OBJECTS) {
        ctx.channel().config().setAutoRead(false);
      }
      return;
    }
    process(object);
  }

  private void process(HttpObject object) {
    try {
      if (object.decoderResult().isFailure()) {
        refuse(ForwardRefusal.of(StrictRequestDecoder.failureCause(object)));
        return;
      }
      if (object instanceof HttpRequest request) {
        processHead(request);
      }
      if (!closing && object instanceof HttpContent content) {
        processContent(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void processHead(HttpRequest request) {
    head = request;
    headMs = dependencies.timers().nowMs();
    headStarted = false;
    keepAlive = HttpUtil.isKeepAlive(request);
    body = Unpooled.EMPTY_BUFFER;
    try {
      call = dependencies.dialect().readRequest(request);
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

  private void processContent(HttpContent content) {
    int length = content.content().readableBytes();
    if (length > 0) {
      if (body.readableBytes() + length > bounds().bodyBytes()) {
        refuse(ForwardRefusal.of(Cause.BODY_TOO_LONG));
        return;
      }
      if (!serverState.tryReserveBytes(length)) {
        refuse(ForwardServerState.OUT_OF_MEMORY);
        return;
      }
      reservedBytes += length;
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
    if (serverState.isRefusing()) {
      refuse(ForwardServerState.LEAVING);
      return;
    }
    exchange =
        new ForwardExchange(
            new ReceivedRequest(
                dependencies,
                pool,
                starter,
                serverState.leaveEnd(),
                context.channel().eventLoop(),
                this,
                head,
                call,
                body,
                headMs));
    serverState.onRequestStarted();
    exchange.start();
  }

  private CallerBounds bounds() {
    return dependencies.plan().read().bounds();
  }

  /**
   * Refuses a request that was not completely read; the boundary to the next request is unknown
   * then, so the connection is closed.
   */
  private void refuse(ForwardRefusal refusal) {
    closing = true;
    releaseBody();
    keepAlive = false;
    write(
        HttpResponseStatus.valueOf(refusal.cause().status()),
        dependencies.dialect().refusalHeaders(call, refusal),
        Unpooled.EMPTY_BUFFER);
  }

  private void releaseBody() {
    releaseReservedBytes();
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  private void releaseReservedBytes() {
    serverState.releaseBytes(reservedBytes);
    reservedBytes = 0;
  }

  @Override
  public void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    boolean keepOpen = staysOpen();
    write(status, headers, content);
    onResponseEnd(keepOpen);
  }

  private void write(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    int bytes = content.readableBytes();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes);
    setConnectionHeader(headers);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
    var written = track(context.writeAndFlush(response), bytes);
    if (!staysOpen()) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private ChannelFuture track(ChannelFuture written, int bytes) {
    unsent.add(bytes);
    return written.addListener(sent -> onSent(bytes, sent.cause()));
  }

  private void onSent(int bytes, Throwable failure) {
    unsent.remove(bytes);
    if (failure != null && context.channel().isActive()) {
      Logger.warn("caller connection closed bytes={} reason={}", bytes, failure.getMessage());
      context.close();
    } else if (exchange == null) {
      idleSinceMs = dependencies.timers().nowMs();
    } else if (isReadyForMore()) {
      exchange.onWritabilityChanged(true);
    }
  }

  private boolean staysOpen() {
    return keepAlive && !serverState.isDraining();
  }

  private void setConnectionHeader(HttpHeaders headers) {
    if (!staysOpen()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void startStream(HttpResponseStatus status, HttpHeaders headers) {
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(headers);
    keepAlive = staysOpen();
    context.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }

  @Override
  public void sendChunk(byte[] bytes) {
    track(context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))), bytes.length);
  }

  @Override
  public void flush() {
    context.flush();
  }

  @Override
  public void endStream() {
    boolean keepOpen = staysOpen();
    var written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!keepOpen) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    onResponseEnd(keepOpen);
  }

  @Override
  public void abort() {
    context.close();
    onResponseEnd(false);
  }

  @Override
  public boolean isConnected() {
    return context.channel().isActive();
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable() && !unsent.isFull();
  }

  @Override
  public ConnectionBuffer unsent() {
    return unsent;
  }

  private boolean isReadyForMore() {
    return context.channel().isWritable() && unsent.isDrained();
  }

  private void onResponseEnd(boolean keepOpen) {
    releaseReservedBytes();
    serverState.onRequestEnded();
    body = Unpooled.EMPTY_BUFFER;
    exchange = null;
    head = null;
    idleSinceMs = dependencies.timers().nowMs();
    if (keepOpen) {
      context.channel().eventLoop().execute(this::processPipelined);
    } else {
      closing = true;
    }
  }

  private void processPipelined() {
    while (exchange == null && !closing && !pipelined.isEmpty()) {
      process(pipelined.poll());
    }
    if (exchange == null) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.onWritabilityChanged(isReadyForMore());
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    serverState.onConnectionClosed(this);
    if (exchange != null) {
      exchange.onCallerDisconnected();
      releaseReservedBytes();
      serverState.onRequestEnded();
      exchange = null;
    } else if (!closing) {
      releaseBody();
    }
    closing = true;
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  /** Closes the connection if its caller sends too slowly or is idle; called periodically. */
  void closeIfTimedOut(long nowMs) {
    context
        .channel()
        .eventLoop()
        .execute(
            () -> {
              if (exchange != null || closing) {
                return;
              }
              long idleMs = nowMs - idleSinceMs;
              if (head != null) {
                refuseIfBodyIsSlow(nowMs - headMs);
              } else if (headStarted) {
                refuseIfHeadIsSlow(idleMs);
              } else if (unsent.heldBytes() == 0 && idleMs > idleTimeoutMs()) {
                context.close();
              }
            });
  }

  private void refuseIfHeadIsSlow(long sinceFirstByteMs) {
    if (sinceFirstByteMs > bounds().headerTimeoutMs()) {
      refuse(ForwardRefusal.of(Cause.SENT_TOO_SLOWLY));
    }
  }

  private void refuseIfBodyIsSlow(long sinceHeadMs) {
    long allowedMs = call == null ? 0 : call.deadlineMs().orElse(bounds().idleTimeoutMs());
    if (sinceHeadMs > Math.min(allowedMs, bounds().idleTimeoutMs())) {
      refuse(ForwardRefusal.of(Cause.SENT_TOO_SLOWLY));
    }
  }

  /** Runs a step with the request under way, if any. */
  CompletableFuture<Void> runWithRequest(Consumer<ForwardExchange> step) {
    return CompletableFuture.runAsync(
        () -> Optional.ofNullable(exchange).ifPresent(step), context.channel().eventLoop());
  }

  void close() {
    context.close();
  }

  private long idleTimeoutMs() {
    return serverState.isDraining()
        ? ForwardServerState.DRAINING_IDLE_TIMEOUT_MS
        : bounds().idleTimeoutMs();
  }
}
