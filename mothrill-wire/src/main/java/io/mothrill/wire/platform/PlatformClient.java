package io.mothrill.wire.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.ResponseAggregator;
import io.mothrill.wire.json.Json;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CompletableFuture;

/** Calls the platform and converts HTTP errors into platform exceptions. */
final class PlatformClient {

  private final HttpClient http;
  private final Address platform;
  private final long timeoutMs;

  PlatformClient(HttpClient http, Address platform, long timeoutMs) {
    this.http = http;
    this.platform = platform;
    this.timeoutMs = timeoutMs;
  }

  CompletableFuture<JsonNode> postJson(String path, JsonNode body) {
    return call(HttpMethod.POST, path, Json.bytes(body))
        .thenApply(reply -> Json.read(reply.body()));
  }

  CompletableFuture<HttpReply> call(HttpMethod method, String path, byte[] body) {
    return ResponseAggregator.of(
            http, platform, method, path, new DefaultHttpHeaders(), body, timeoutMs)
        .thenApply(reply -> checked(path, reply))
        .exceptionallyCompose(
            error -> CompletableFuture.failedFuture(PlatformErrorMapper.map(path, error)));
  }

  private static HttpReply checked(String path, HttpReply reply) {
    if (!reply.isSuccess() && reply.status() != 404) {
      throw PlatformException.responseLost(path + " answered status " + reply.status());
    }
    return reply;
  }
}
