package io.mothrill.wire.http;

import io.mothrill.wire.http.error.HttpException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

/** Aggregates a response with a small body; a call whose response is longer fails. */
public final class ResponseAggregator implements HttpSink {

  /** Several times the longest list of upstreams or budgets. */
  private static final int MAX_BYTES = 16 << 20;

  private final Runnable onProgress;
  private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";

  /**
   * Sends a call and aggregates its response.
   *
   * @param client the client
   * @param to the server
   * @param method the method
   * @param path the path with its query
   * @param headers the headers
   * @param requestBody the body; must not be modified
   * @param timeoutMs how long the server may send nothing before the call fails
   * @return the response; fails with {@link HttpException}
   */
  public static CompletableFuture<HttpReply> of(
      HttpClient client,
      Address to,
      HttpMethod method,
      String path,
      HttpHeaders headers,
      byte[] requestBody,
      long timeoutMs) {
    return of(client, to, method, path, headers, requestBody, timeoutMs, () -> {});
  }

  /**
   * Sends a call and aggregates its response.
   *
   * @param client the client
   * @param to the server
   * @param method the method
   * @param path the path with its query
   * @param headers the headers
   * @param requestBody the body; must not be modified
   * @param timeoutMs how long the server may send nothing before the call fails
   * @param onProgress called whenever a part of the body arrives
   * @return the response; fails with {@link HttpException}
   */
  public static CompletableFuture<HttpReply> of(
      HttpClient client,
      Address to,
      HttpMethod method,
      String path,
      HttpHeaders headers,
      byte[] requestBody,
      long timeoutMs,
      Runnable onProgress) {
    ResponseAggregator aggregator = new ResponseAggregator(onProgress);
    HttpClient.Handle handle =
        client.send(
            new HttpCall(to, "", method, path, headers, requestBody, false, timeoutMs), aggregator);
    var unused =
        aggregator.reply.whenComplete(
            (reply, error) -> {
              if (error != null) {
                handle.cancel();
              }
            });
    return aggregator.reply;
  }

  private ResponseAggregator(Runnable onProgress) {
    this.onProgress = onProgress;
  }

  @Override
  public boolean onHead(HttpResponse head) {
    status = head.status().code();
    contentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return true;
  }

  @Override
  public void onBody(byte[] bytes) {
    onProgress.run();
    if (body.size() + bytes.length > MAX_BYTES) {
      body.reset();
      onFailure(true, "response is longer than " + MAX_BYTES + " bytes");
    } else if (!reply.isDone()) {
      body.writeBytes(bytes);
    }
  }

  @Override
  public void onEnd() {
    reply.complete(new HttpReply(status, contentType, body.toByteArray()));
  }

  @Override
  public void onFailure(boolean sent, String detail) {
    reply.completeExceptionally(new HttpException(sent, detail));
  }
}
