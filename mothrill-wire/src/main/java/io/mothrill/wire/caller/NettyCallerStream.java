package io.mothrill.wire.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.request.CallerStream;
import io.mothrill.core.request.NotRun;
import io.mothrill.core.request.Refusal;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.json.Json;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Locale;

/** Writes one response to a caller's connection. */
final class NettyCallerStream implements CallerStream {

  private static final long SECOND_MS = 1_000;

  private final Channel channel;
  private final boolean keepAlive;
  private final Runnable onResponseEnd;
  private String requestId = "";
  private String key = "";

  NettyCallerStream(Channel channel, boolean keepAlive, Runnable onResponseEnd) {
    this.channel = channel;
    this.keepAlive = keepAlive;
    this.onResponseEnd = onResponseEnd;
  }

  @Override
  public void execute(Runnable step) {
    if (channel.eventLoop().inEventLoop()) {
      step.run();
    } else {
      channel.eventLoop().execute(step);
    }
  }

  @Override
  public void identify(String newRequestId, String newKey) {
    this.requestId = newRequestId;
    this.key = newKey;
  }

  @Override
  public void head(int status, String contentType) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setHeaders(response.headers(), contentType);
    channel.writeAndFlush(response);
  }

  private void setHeaders(HttpHeaders headers, String contentType) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
    if (!requestId.isEmpty()) {
      headers.set(CallerHeaders.REQUEST_ID, requestId);
      headers.set(CallerHeaders.REQUEST_KEY, key);
    }
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void chunk(byte[] bytes) {
    if (bytes.length > 0) {
      channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
  }

  @Override
  public void end() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void finish(Object last) {
    var written = channel.writeAndFlush(last);
    if (keepAlive) {
      onResponseEnd.run();
    } else {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void abort() {
    channel.close();
  }

  @Override
  public void refuse(Refusal refusal) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(refusal.status()),
            Unpooled.wrappedBuffer(Json.bytes(errorOf(refusal))));
    setHeaders(response.headers(), HttpReply.JSON);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    if (refusal.retryAfterMs() > 0) {
      long seconds = (refusal.retryAfterMs() + SECOND_MS - 1) / SECOND_MS;
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    finish(response);
  }

  private static ObjectNode errorOf(Refusal refusal) {
    ObjectNode node = Json.object();
    ObjectNode error = node.putObject("error");
    error.put("code", refusal.code());
    error.put("message", refusal.message());
    if (refusal.notRun() == NotRun.UNKNOWN) {
      error.put("notRun", refusal.notRun().name().toLowerCase(Locale.ROOT));
    } else {
      error.put("notRun", refusal.notRun() == NotRun.TRUE);
    }
    return node;
  }
}
