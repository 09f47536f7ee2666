package io.mothrill.lab.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.routing.LoadReport;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.upstream.UpstreamHeaders;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Handles one connection to the engine stand-in. */
final class EngineHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  /** A prompt may set the length of its answer, so that answers shorter than the limit occur. */
  private static final Pattern WANTED_TOKENS = Pattern.compile("\\[tokens=(\\d+)]");

  private static final String STREAMS = "/v1/streams/";

  private final EngineBatch batch;
  private final EngineFaults faults;
  private Sequence current;

  EngineHandler(EngineBatch batch, EngineFaults faults) {
    this.batch = batch;
    this.faults = faults;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    String requestId = request.headers().get(UpstreamHeaders.REQUEST_ID, "none");
    if (faults.consumeStall()) {
      return;
    }
    if (faults.isLeaving()) {
      refuseLeaving(ctx, requestId);
      return;
    }
    if (request.uri().startsWith(STREAMS)) {
      resume(ctx, request.uri());
      return;
    }
    JsonNode body = Json.read(ByteBufUtil.getBytes(request.content()));
    StringBuilder prompt = new StringBuilder();
    body.path("messages").forEach(message -> prompt.append(message.path("content").asText()));
    boolean streamed = body.path("stream").asBoolean();
    String responseId = faults.consumeMisattribution() ? "other-" + requestId : requestId;
    ResponseWriter writer =
        streamed
            ? new StreamResponseWriter(ctx, responseId)
            : new FullResponseWriter(ctx, responseId);
    boolean urgent = !"batch".equals(request.headers().get(UpstreamHeaders.PRIORITY));
    current =
        new Sequence(
            requestId,
            prompt.toString(),
            urgent,
            outputTokens(prompt.toString(), body.path("max_tokens").asInt(16)),
            writer);
    batch.add(current);
  }

  /** Serves {@code GET /v1/streams/{requestId}?from=N}: resumes the stream at token N. */
  private void resume(ChannelHandlerContext ctx, String uri) {
    QueryStringDecoder query = new QueryStringDecoder(uri);
    String requestId = query.path().substring(STREAMS.length());
    int from = Integer.parseInt(query.parameters().getOrDefault("from", List.of("0")).get(0));
    Optional<Sequence> interrupted = batch.find(requestId);
    if (interrupted.isEmpty() || from >= interrupted.get().maxTokens()) {
      ctx.close();
      return;
    }
    Sequence earlier = interrupted.get();
    current =
        new Sequence(
                requestId,
                earlier.prompt(),
                earlier.isUrgent(),
                earlier.maxTokens(),
                new StreamResponseWriter(ctx, requestId))
            .resumeAt(from);
    batch.resume(current);
  }

  private int outputTokens(String prompt, int limit) {
    Matcher matcher = WANTED_TOKENS.matcher(prompt);
    int tokens = matcher.find() ? Math.min(limit, Integer.parseInt(matcher.group(1))) : limit;
    return tokens + faults.extraTokens();
  }

  private void refuseLeaving(ChannelHandlerContext ctx, String requestId) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
    response
        .headers()
        .set(UpstreamHeaders.REQUEST_ID, requestId)
        .set(UpstreamHeaders.NOT_RUN, "true")
        .set(UpstreamHeaders.LEAVING, "true")
        .set(HttpHeaderNames.CONTENT_LENGTH, 0);
    ctx.writeAndFlush(response);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (current != null) {
      current.cancel();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  private void setHeaders(HttpHeaders headers, String requestId, String contentType) {
    LoadReport load = batch.load();
    headers
        .set(HttpHeaderNames.CONTENT_TYPE, contentType)
        .set(UpstreamHeaders.REQUEST_ID, requestId)
        .set(UpstreamHeaders.LOAD_RUNNING, load.running())
        .set(UpstreamHeaders.LOAD_QUEUED, load.queued());
    if (faults.isLeaving()) {
      headers.set(UpstreamHeaders.LEAVING, "true");
    }
  }

  private static ObjectNode usage(int promptTokens, int emittedTokens) {
    return Json.object()
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", emittedTokens)
        .put("total_tokens", promptTokens + emittedTokens);
  }

  /** Writes the tokens of a sequence to the connection. */
  private abstract static class ResponseWriter implements Sequence.SequenceOutput {
    final ChannelHandlerContext ctx;
    final String requestId;

    ResponseWriter(ChannelHandlerContext ctx, String requestId) {
      this.ctx = ctx;
      this.requestId = requestId;
    }
  }

  private final class StreamResponseWriter extends ResponseWriter {
    private boolean started;

    StreamResponseWriter(ChannelHandlerContext ctx, String requestId) {
      super(ctx, requestId);
    }

    @Override
    public void onToken(String text, int promptTokens, int emittedTokens) {
      start();
      ObjectNode event = Json.object().put("id", requestId);
      event.putArray("choices").addObject().put("index", 0).putObject("delta").put("content", text);
      event.set("usage", usage(promptTokens, emittedTokens));
      send("data: " + event + "\n\n");
    }

    private void start() {
      if (!started) {
        started = true;
        HttpResponse response =
            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        setHeaders(response.headers(), requestId, "text/event-stream");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        ctx.write(response);
      }
    }

    private void send(String text) {
      ctx.writeAndFlush(
          new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    @Override
    public void onEnd(int promptTokens, int emittedTokens) {
      send("data: [DONE]\n\n");
      ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  private final class FullResponseWriter extends ResponseWriter {
    private final StringBuilder text = new StringBuilder();

    FullResponseWriter(ChannelHandlerContext ctx, String requestId) {
      super(ctx, requestId);
    }

    @Override
    public void onToken(String token, int promptTokens, int emittedTokens) {
      text.append(token);
    }

    @Override
    public void onEnd(int promptTokens, int emittedTokens) {
      ObjectNode node = Json.object().put("id", requestId).put("object", "chat.completion");
      node.putArray("choices")
          .addObject()
          .put("index", 0)
          .put("finish_reason", "stop")
          .putObject("message")
          .put("role", "assistant")
          .put("content", text.toString());
      node.set("usage", usage(promptTokens, emittedTokens));
      byte[] bytes = Json.bytes(node);
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(bytes));
      setHeaders(response.headers(), requestId, "application/json");
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      ctx.writeAndFlush(response);
    }
  }
}
