package io.mothrill.wire.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.ResponseAggregator;
import io.mothrill.wire.json.Json;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

/** A client for the operator port of an instance. */
public final class OperatorClient {

  private static final byte[] EMPTY_BODY = new byte[0];

  private final HttpClient http;
  private final Address server;
  private final String who;
  private final long timeoutMs;

  /**
   * Creates the client.
   *
   * @param http the HTTP client
   * @param server an instance's operator port
   * @param who the operator, recorded in the change log
   * @param timeoutMs how long to wait for a response
   */
  public OperatorClient(HttpClient http, Address server, String who, long timeoutMs) {
    this.http = http;
    this.server = server;
    this.who = who;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Declares a resource.
   *
   * @param manifest the resource
   * @param changeId makes the call idempotent
   * @return the server's response
   */
  public CompletableFuture<HttpReply> apply(JsonNode manifest, String changeId) {
    String kind = manifest.path("kind").asText().toLowerCase(Locale.ROOT);
    String name = manifest.path("metadata").path("name").asText();
    return call(HttpMethod.PUT, pathOf(kind, name), changeId, Json.bytes(manifest));
  }

  /**
   * Deletes a resource.
   *
   * @param kind the kind
   * @param name the name
   * @param changeId makes the call idempotent
   * @return the server's response
   */
  public CompletableFuture<HttpReply> delete(String kind, String name, String changeId) {
    return call(HttpMethod.DELETE, pathOf(kind, name), changeId, EMPTY_BODY);
  }

  /**
   * Reads a resource, or all resources of a kind.
   *
   * @param kind the kind
   * @param name the name; empty for all
   * @return the server's response
   */
  public CompletableFuture<HttpReply> get(String kind, String name) {
    return call(HttpMethod.GET, pathOf(kind, name), "", EMPTY_BODY);
  }

  /**
   * Reads the changes after a revision, waiting for the next one when there is none.
   *
   * @param after the revision
   * @param waitMs how long to wait
   * @return the server's response
   */
  public CompletableFuture<HttpReply> changes(long after, long waitMs) {
    return call(
        HttpMethod.GET, "/apis/v1/changes?after=" + after + "&waitMs=" + waitMs, "", EMPTY_BODY);
  }

  /**
   * Reads the configuration revisions of the instance and its peers.
   *
   * @return the server's response
   */
  public CompletableFuture<HttpReply> config() {
    return call(HttpMethod.GET, "/apis/v1/config", "", EMPTY_BODY);
  }

  /**
   * Reads the routing decisions about a request.
   *
   * @param requestId the id of the run
   * @return the server's response
   */
  public CompletableFuture<HttpReply> decisions(String requestId) {
    return call(HttpMethod.GET, "/apis/v1/decisions/" + requestId, "", EMPTY_BODY);
  }

  private static String pathOf(String kind, String name) {
    String path = "/apis/v1/" + kind.toLowerCase(Locale.ROOT);
    return name.isEmpty() ? path : path + "/" + name;
  }

  private CompletableFuture<HttpReply> call(
      HttpMethod method, String path, String changeId, byte[] body) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("mothrill-operator", who);
    if (!changeId.isEmpty()) {
      headers.set("mothrill-change-id", changeId);
    }
    return ResponseAggregator.of(http, server, method, path, headers, body, timeoutMs);
  }
}
