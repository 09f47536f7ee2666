package io.mothrill.wire.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.request.CallPlanner;
import io.mothrill.core.request.CallRequest;
import io.mothrill.core.request.Exchange;
import io.mothrill.core.request.Refusal;
import io.mothrill.core.request.RequestService;
import io.mothrill.core.request.error.RefusedException;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.json.Json;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Handles one caller connection; requests are processed one after the other. */
final class CallerHandler extends ChannelInboundHandlerAdapter {

  private static final int MAX_QUEUED_MESSAGES = 64;

  private final RequestService requests;
  private final PublishedValue<ConfigSnapshot> config;
  private final CallerLimits limits;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private ByteArrayOutputStream body;
  private Future<?> sendStallTimer;
  private Future<?> readStallTimer;
  private Exchange exchange;
  private boolean responding;

  CallerHandler(
      RequestService requests, PublishedValue<ConfigSnapshot> config, CallerLimits limits) {
    this.requests = requests;
    this.config = config;
    this.limits = limits;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    this.context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject part = (HttpObject) message;
    if (!responding) {
      process(part);
    } else if (queued.size() < MAX_QUEUED_MESSAGES) {
      queued.add(part);
    } else {
      ReferenceCountUtil.release(part);
      ctx.close();
    }
  }

  private void process(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        refuseAndClose(Refusal.badRequest("the request is not HTTP, or its header is too large"));
        return;
      }
      if (part instanceof HttpRequest request) {
        startRequest(request);
      }
      if (part instanceof HttpContent content && head != null) {
        appendBody(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void startRequest(HttpRequest request) {
    head = request;
    body = new ByteArrayOutputStream();
    sendStallTimer =
        context
            .executor()
            .schedule(
                () -> refuseAndClose(Refusal.sendTimeout()),
                limits.sendStallMs(),
                TimeUnit.MILLISECONDS);
    if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
      refuseAndClose(Refusal.tooLarge(limits.maxBodyBytes()));
    } else if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void appendBody(HttpContent content) {
    if (body.size() + content.content().readableBytes() > limits.maxBodyBytes()) {
      refuseAndClose(Refusal.tooLarge(limits.maxBodyBytes()));
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      sendStallTimer.cancel(false);
      run();
    }
  }

  private void run() {
    HttpServerRequest input =
        new HttpServerRequest(head.method().name(), head.uri(), head.headers(), body.toByteArray());
    NettyCallerStream caller =
        new NettyCallerStream(context.channel(), HttpUtil.isKeepAlive(head), this::onResponseEnd);
    responding = true;
    head = null;
    body = null;
    try {
      if (input.path().equals("/v1/models")) {
        listModels(input, caller);
        return;
      }
      CallRequest request = CallerRequestReader.read(input);
      exchange = requests.run(request, caller);
      if (!responding) {
        exchange = null;
      }
    } catch (RefusedException ex) {
      caller.refuse(ex.refusal());
    }
  }

  private void listModels(HttpServerRequest input, NettyCallerStream caller) {
    ConfigSnapshot snapshot = config.read();
    CallPlanner.authenticate(snapshot, CallerRequestReader.bearer(input.headers()));
    ObjectNode node = Json.object().put("object", "list");
    ArrayNode data = node.putArray("data");
    snapshot.list(ResourceKind.SERVICE).stream()
        .filter(service -> ((ServiceSpec) service.spec()).type() == ServiceType.MODEL)
        .forEach(service -> data.addObject().put("id", service.name()).put("object", "model"));
    caller.head(HttpResponseStatus.OK.code(), HttpReply.JSON);
    caller.chunk(Json.bytes(node));
    caller.end();
  }

  private void onResponseEnd() {
    responding = false;
    exchange = null;
    cancelReadStallTimer();
    context.executor().execute(this::processQueued);
  }

  private void processQueued() {
    while (!responding && !queued.isEmpty()) {
      process(queued.poll());
    }
  }

  private void refuseAndClose(Refusal refusal) {
    head = null;
    if (sendStallTimer != null) {
      sendStallTimer.cancel(false);
    }
    responding = true;
    new NettyCallerStream(context.channel(), false, () -> {}).refuse(refusal);
  }

  /**
   * Pauses reading from the upstream while the caller does not keep up, and closes the connection
   * after a timeout.
   *
   * <p>Without this, the response to a caller that stops reading would accumulate in memory and
   * occupy an upstream slot. The upstream is therefore read no faster than the caller reads, and
   * only for a bounded time.
   */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    if (exchange != null) {
      exchange.onCallerWritable(writable);
    }
    cancelReadStallTimer();
    if (!writable) {
      readStallTimer =
          ctx.executor().schedule(() -> ctx.close(), limits.readStallMs(), TimeUnit.MILLISECONDS);
    }
  }

  private void cancelReadStallTimer() {
    if (readStallTimer != null) {
      readStallTimer.cancel(false);
      readStallTimer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelReadStallTimer();
    if (sendStallTimer != null) {
      sendStallTimer.cancel(false);
    }
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
    if (exchange != null) {
      exchange.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
