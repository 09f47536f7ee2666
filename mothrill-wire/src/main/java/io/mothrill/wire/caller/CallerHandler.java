package io.mothrill.wire.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.board.Section;
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
import io.mothrill.wire.http.HttpInput;
import io.mothrill.wire.http.HttpReply;
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

/** One caller's connection: reads a request, runs it, and only then reads the next. */
final class CallerHandler extends ChannelInboundHandlerAdapter {

  private static final int MAX_HELD_MESSAGES = 64;

  private final RequestService requests;
  private final Section<ConfigSnapshot> config;
  private final CallerLimits limits;
  private final Deque<HttpObject> held = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private ByteArrayOutputStream body;
  private Future<?> sendStall;
  private Future<?> readStall;
  private Exchange exchange;
  private boolean answering;

  CallerHandler(RequestService requests, Section<ConfigSnapshot> config, CallerLimits limits) {
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
    if (!answering) {
      take(part);
    } else if (held.size() < MAX_HELD_MESSAGES) {
      held.add(part);
    } else {
      ReferenceCountUtil.release(part);
      ctx.close();
    }
  }

  private void take(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        refuseAndClose(Refusal.badRequest("the request is not HTTP, or its header is too large"));
        return;
      }
      if (part instanceof HttpRequest request) {
        begin(request);
      }
      if (part instanceof HttpContent content && head != null) {
        add(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void begin(HttpRequest request) {
    head = request;
    body = new ByteArrayOutputStream();
    sendStall =
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

  private void add(HttpContent content) {
    if (body.size() + content.content().readableBytes() > limits.maxBodyBytes()) {
      refuseAndClose(Refusal.tooLarge(limits.maxBodyBytes()));
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      sendStall.cancel(false);
      run();
    }
  }

  private void run() {
    HttpInput input =
        new HttpInput(head.method().name(), head.uri(), head.headers(), body.toByteArray());
    NettyCaller caller =
        new NettyCaller(context.channel(), HttpUtil.isKeepAlive(head), this::onAnswered);
    answering = true;
    head = null;
    body = null;
    try {
      if (input.path().equals("/v1/models")) {
        listModels(input, caller);
        return;
      }
      CallRequest request = CallerRequests.read(input);
      exchange = requests.run(request, caller);
      if (!answering) {
        exchange = null;
      }
    } catch (RefusedException ex) {
      caller.refuse(ex.refusal());
    }
  }

  private void listModels(HttpInput input, NettyCaller caller) {
    ConfigSnapshot snapshot = config.read();
    CallPlanner.authenticate(snapshot, CallerRequests.bearer(input.headers()));
    ObjectNode node = Json.object().put("object", "list");
    ArrayNode data = node.putArray("data");
    snapshot.list(ResourceKind.SERVICE).stream()
        .filter(service -> ((ServiceSpec) service.spec()).type() == ServiceType.MODEL)
        .forEach(service -> data.addObject().put("id", service.name()).put("object", "model"));
    caller.head(HttpResponseStatus.OK.code(), HttpReply.JSON);
    caller.chunk(Json.bytes(node));
    caller.end();
  }

  private void onAnswered() {
    answering = false;
    exchange = null;
    stopReadStall();
    context.executor().execute(this::takeHeld);
  }

  private void takeHeld() {
    while (!answering && !held.isEmpty()) {
      take(held.poll());
    }
  }

  private void refuseAndClose(Refusal refusal) {
    head = null;
    if (sendStall != null) {
      sendStall.cancel(false);
    }
    answering = true;
    new NettyCaller(context.channel(), false, () -> {}).refuse(refusal);
  }

  /**
   * Lets the upstream wait while the caller does not keep up, and gives the caller up in the end.
   *
   * <p>Failure: a caller stops reading. Symptom: its answer piles up in memory and holds a slot.
   * The upstream is read no faster than the caller reads, and only for a bounded time.
   */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    if (exchange != null) {
      exchange.onCallerWritable(writable);
    }
    stopReadStall();
    if (!writable) {
      readStall =
          ctx.executor().schedule(() -> ctx.close(), limits.readStallMs(), TimeUnit.MILLISECONDS);
    }
  }

  private void stopReadStall() {
    if (readStall != null) {
      readStall.cancel(false);
      readStall = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stopReadStall();
    if (sendStall != null) {
      sendStall.cancel(false);
    }
    held.forEach(ReferenceCountUtil::release);
    held.clear();
    if (exchange != null) {
      exchange.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
