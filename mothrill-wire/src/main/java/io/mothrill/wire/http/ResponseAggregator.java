package io.mothrill.wire.http;

import io.mothrill.wire.http.error.HttpException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Aggregates a response with a small body; a call whose response is longer fails.
 *
 * @param <T> what the response is read as
 */
public final class ResponseAggregator<T> implements HttpSink {

  /** Several times the longest list of upstreams or budgets. */
  private static final int MAX_BYTES = 16 << 20;

  /** How often a server may stay silent for almost its timeout within one response. */
  private static final long MAX_PAUSES = 10;

  /** 64 kbit/s; a server that sends less is never silent, but its response never ends. */
  private static final long MIN_BYTES_PER_MS = 8;

  private static final long NANOS_PER_MS = 1_000_000;

  private final Runnable onProgress;
  private final Function<HttpReply, T> reader;
  private final long timeoutMs;
  private final long startNanos = System.nanoTime();
  private final CompletableFuture<T> result = new CompletableFuture<>();
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
    return read(
        client,
        new HttpCall(to, "", method, path, headers, requestBody, false, timeoutMs),
        onProgress,
        Function.identity());
  }

  /**
   * Sends a call and reads its response.
   *
   * @param client the client
   * @param call the call
   * @param onProgress called whenever a part of the body arrives
   * @param reader reads the response; when it throws, the call fails with its exception and the
   *     connection is not used again
   * @param <T> the type of the result
   * @return the result; fails with {@link HttpException} when there is no complete response
   */
  public static <T> CompletableFuture<T> read(
      HttpClient client, HttpCall call, Runnable onProgress, Function<HttpReply, T> reader) {
    ResponseAggregator<T> aggregator = new ResponseAggregator<>(onProgress, reader, call.stallMs());
    HttpClient.Handle handle = client.send(call, aggregator);
    var unused =
        aggregator.result.whenComplete(
            (result, error) -> {
              if (error != null) {
                handle.cancel();
              }
            });
    return aggregator.result;
  }

  private ResponseAggregator(Runnable onProgress, Function<HttpReply, T> reader, long timeoutMs) {
    this.onProgress = onProgress;
    this.reader = reader;
    this.timeoutMs = timeoutMs;
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
    } else if (elapsedMs() > MAX_PAUSES * timeoutMs + body.size() / MIN_BYTES_PER_MS) {
      onFailure(true, "only " + body.size() + " bytes in " + elapsedMs() + " ms");
    } else if (!result.isDone()) {
      body.writeBytes(bytes);
    }
  }

  private long elapsedMs() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  /** Fails in the same way as the reader, so that the connection is closed. */
  @Override
  public void onEnd() {
    try {
      result.complete(reader.apply(new HttpReply(status, contentType, body.toByteArray())));
    } catch (RuntimeException ex) {
      result.completeExceptionally(ex);
      throw ex;
    }
  }

  @Override
  public void onFailure(boolean sent, String detail) {
    result.completeExceptionally(new HttpException(sent, detail));
  }
}
