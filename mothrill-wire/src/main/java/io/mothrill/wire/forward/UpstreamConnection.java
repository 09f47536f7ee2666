package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.mothrill.core.forward.buffer.SourcePause;
import io.mothrill.wire.connection.ConnectionEnd;
import io.mothrill.wire.connection.DeliveryCheck;
import io.mothrill.wire.connection.ReceivingSocketChannel;
import io.mothrill.wire.response.ConnectionUse;
import io.mothrill.wire.response.ResponseDecoder;
import io.mothrill.wire.response.SurplusLog;
import io.mothrill.wire.syntax.SyntaxException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A connection to an upstream that carries one request at a time.
 *
 * <p>An upstream may send a second response to an earlier request in place of the next one, a part
 * of one, or bytes that belong to no request. Bytes that arrive while no request is in flight close
 * the connection undecoded. Later ones are told apart by the request id: responses to earlier
 * requests of the connection are skipped within limits, and a response that may be joined from two
 * fails. The connection is not reused after either.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** Assumed keep-alive time of an upstream that does not state one. */
  private static final long DEFAULT_KEEP_ALIVE_MS = 4_000;

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;
  private static final int MAX_REASON_LENGTH = 200;

  private final Dialect dialect;
  private final UpstreamPool pool;
  private final BufferBudget buffers;
  private final ResponseMatcher matcher;
  private final ResponseDecoder decoder;
  private ChannelHandlerContext context;
  private UpstreamSink sink;
  private HttpMethod method = HttpMethod.GET;
  private RequestWriter writer;
  private boolean reusable;
  private boolean idle = true;
  private boolean hasContent;
  private boolean selfDelimited;
  private boolean endsWithResponse;
  private Optional<String> relay = Optional.empty();
  private long idleSinceMs;
  private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

  /**
   * Creates a connection that is not connected yet.
   *
   * @param dialect reads the heads of responses
   * @param pool takes the connection back after a response
   * @param buffers limits what is written but not sent
   * @param matcher attributes responses to requests
   */
  UpstreamConnection(
      Dialect dialect, UpstreamPool pool, BufferBudget buffers, ResponseMatcher matcher) {
    this.dialect = dialect;
    this.pool = pool;
    this.buffers = buffers;
    this.matcher = matcher;
    this.decoder =
        new ResponseDecoder(
            new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES),
            this::onSurplus);
  }

  /** Adds this connection and what it needs to a pipeline that reads bytes of the upstream. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(decoder).addLast(new HttpRequestEncoder()).addLast(this);
  }

  /** Sets the instance through which the connection passes; it then carries one request only. */
  void setRelay(String instanceId) {
    relay = Optional.of(instanceId);
  }

  /** Returns the instance through which the connection passes, if any. */
  Optional<String> relay() {
    return relay;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    this.context = ctx;
  }

  String incarnation() {
    return matcher.use().upstream();
  }

  /** Returns how far the connection has been used. */
  ConnectionUse use() {
    return matcher.use();
  }

  /** Sends a request and delivers its response to the sink. */
  void send(FullHttpRequest request, String requestId, UpstreamSink newSink) {
    this.sink = newSink;
    matcher.onRequest(requestId);
    this.method = request.method();
    decoder.expectResponse(method);
    this.idle = false;
    this.hasContent = request.content().isReadable();
    this.reusable = relay.isEmpty();
    ConnectionBuffer unsent = buffers.newBuffer();
    SourcePause pause = buffers.newPause(unsent, context.executor(), this::onStalled);
    this.writer = new RequestWriter(context, request, unsent, pause, newSink::onRequestProgress);
    writer.start();
  }

  private void onStalled() {
    failResponse(ResponseFailure.STALLED, "upstream reads too slowly");
  }

  /** Pauses or resumes reading from the upstream, as backpressure from the caller. */
  void setReading(boolean reading) {
    context.channel().config().setAutoRead(reading);
  }

  /** Returns how many bytes may be read at once. */
  int maxReadBytes() {
    return sink == null ? Integer.MAX_VALUE : sink.maxReadBytes();
  }

  /** Cancels the request by closing the connection, which the upstream notices. */
  void cancel() {
    sink = null;
    context.close();
  }

  boolean isUsable(long nowMs, double keepAliveShare) {
    return context.channel().isActive() && nowMs - idleSinceMs < keepAliveMs * keepAliveShare;
  }

  /** Checks whether something has arrived without a request and was not read yet. */
  boolean hasInput() {
    return context.channel() instanceof ReceivingSocketChannel channel && channel.hasInput();
  }

  boolean isActive() {
    return context.channel().isActive();
  }

  void close() {
    context.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (sink == null) {
      ctx.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      onMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse head) {
      onHead(head);
    }
    if (sink != null && message instanceof HttpContent content) {
      onContent(content);
    }
  }

  private void onMalformed(Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    String reason = message.substring(0, Math.min(message.length(), MAX_REASON_LENGTH));
    matcher.onSurplus(SurplusLog.Place.MALFORMED, 0, reason);
    failResponse(ResponseFailure.PROTOCOL_ERROR, "response is not HTTP: " + reason);
  }

  private void onHead(HttpResponse head) {
    ResponseMetadata metadata = dialect.readResponseMetadata(head);
    ResponseMatcher.Match match = matcher.match(head, metadata, pool.nowMs());
    if (match.problem().isPresent()) {
      failResponse(ResponseFailure.PROTOCOL_ERROR, match.problem().get());
      return;
    }
    selfDelimited = isSelfDelimited(head);
    reusable = reusable && match.isReusable() && HttpUtil.isKeepAlive(head) && selfDelimited;
    if (match.isOwn()) {
      metadata.keepAliveMs().ifPresent(idleMs -> keepAliveMs = idleMs);
      sink.onHead(head, metadata);
    }
  }

  /**
   * Checks whether a response states its length or is chunked; any other response ends with its
   * connection.
   */
  static boolean isSelfDelimited(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (matcher.isSkipping()) {
      if (last) {
        decoder.expectResponse(method);
      }
      matcher
          .skip(content, pool.nowMs())
          .ifPresent(problem -> failResponse(ResponseFailure.PROTOCOL_ERROR, problem));
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      sink.onContent(bytes);
    }
    if (last && sink != null) {
      end();
    }
  }

  private void end() {
    UpstreamSink ended = sink;
    sink = null;
    Optional<ConnectionEnd> connectionEnd = ConnectionEnd.of(context.channel());
    // An upstream may respond before it has read the body; the rest of the body must not be cut off
    // or mixed into the next request.
    if (reusable && writer.written().isSuccess() && decoder.undecodedBytes() == 0) {
      idle = true;
      idleSinceMs = pool.nowMs();
      setReading(true);
      pool.release(this);
    } else {
      endsWithResponse = connectionEnd.isPresent() && !selfDelimited;
      if (!endsWithResponse) {
        context.close();
      }
    }
    ended.onEnd(connectionEnd);
  }

  /**
   * Checks whether the upstream has taken the whole request, and closes the connection. To be
   * called when a response has ended with the connection.
   *
   * @param onResult receives the result
   */
  void checkDelivery(Consumer<Boolean> onResult) {
    Consumer<Boolean> closing =
        delivered -> {
          context.close();
          onResult.accept(delivered);
        };
    if (hasContent) {
      DeliveryCheck.check(context.channel(), writer.written(), closing);
    } else {
      closing.accept(true);
    }
  }

  /** Bytes that no response was expected for are the beginning of none; nor is what follows. */
  private void onSurplus(int bytes) {
    matcher.onSurplus(
        idle ? SurplusLog.Place.WHILE_IDLE : SurplusLog.Place.AFTER_RESPONSE, bytes, "");
    context.close();
  }

  private void failResponse(ResponseFailure cause, String detail) {
    UpstreamSink failed = sink;
    sink = null;
    context.close();
    if (failed != null) {
      failed.onFailure(cause, detail);
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
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (sink != null) {
      sink.onReadComplete();
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (writer != null) {
      writer.continueWriting();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.remove(this);
    if (writer != null) {
      writer.cancel();
    }
    failResponse(ResponseFailure.CLOSED, "connection closed before the response was complete");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof SyntaxException) {
      onMalformed(cause);
      return;
    }
    failResponse(
        cause instanceof IOException ? ResponseFailure.CLOSED : ResponseFailure.PROTOCOL_ERROR,
        String.valueOf(cause.getMessage()));
  }
}
