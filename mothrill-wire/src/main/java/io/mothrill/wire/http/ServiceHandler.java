package io.mothrill.wire.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.error.Failures;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.wire.json.Json;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/** Handles the complete requests of one connection. */
final class ServiceHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int BAD_REQUEST = 400;
  private static final int INTERNAL_ERROR = 500;

  private final HttpService service;

  ServiceHandler(HttpService service) {
    this.service = service;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      write(ctx, error(BAD_REQUEST, "invalid_request", "request is not HTTP"), false);
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    HttpServerRequest input =
        new HttpServerRequest(
            request.method().name(),
            request.uri(),
            request.headers().copy(),
            ByteBufUtil.getBytes(request.content()));
    var unused =
        serve(input)
            .exceptionally(ServiceHandler::replyTo)
            .thenAccept(reply -> write(ctx, reply, keepAlive));
  }

  private CompletableFuture<HttpReply> serve(HttpServerRequest input) {
    try {
      return service.serve(input);
    } catch (RuntimeException ex) {
      return CompletableFuture.failedFuture(ex);
    }
  }

  private static HttpReply replyTo(Throwable error) {
    Throwable cause = Failures.unwrap(error);
    if (cause instanceof InvalidInputException) {
      return error(BAD_REQUEST, "invalid_request", cause.getMessage());
    }
    Logger.warn(cause, "request failed");
    return error(INTERNAL_ERROR, "internal_error", String.valueOf(cause.getMessage()));
  }

  private static HttpReply error(int status, String code, String message) {
    ObjectNode node = Json.object();
    node.putObject("error").put("code", code).put("message", message);
    return HttpReply.json(status, node);
  }

  private static void write(ChannelHandlerContext ctx, HttpReply reply, boolean keepAlive) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            Unpooled.wrappedBuffer(reply.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
    var written = ctx.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
