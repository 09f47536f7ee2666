package io.mothrill.lab.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.mothrill.core.fake.FakeInstanceList;
import io.mothrill.core.fake.FakeObjectStore;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.Fault;
import io.mothrill.core.fake.FaultInjector;
import io.mothrill.core.time.Timers;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpServer;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.http.HttpService;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.platform.InstanceJson;
import io.mothrill.wire.platform.TableJson;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Serves a stand-in of the platform over HTTP: a table, an object store and an instance list, each
 * with fault injection.
 *
 * <p>{@code POST /faults} sets the faults, with a body such as {@code {"table": "DOWN"}} or {@code
 * {"delayMs": 200}}.
 */
public final class PlatformServer implements HttpService {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final long EXPIRY_MS = 10_000;

  private final FakeTable table;
  private final FakeObjectStore objects;
  private final FakeInstanceList instances;
  private final HttpServer server;

  /**
   * Starts the server.
   *
   * @param group the event loops
   * @param timers the clock and timers
   * @param host the IP address to listen on
   * @param port the TCP port; 0 for any free port
   */
  public PlatformServer(EventLoopGroup group, Timers timers, String host, int port) {
    this.table = new FakeTable(timers);
    this.objects = new FakeObjectStore(timers);
    this.instances = new FakeInstanceList(timers, EXPIRY_MS);
    this.server = HttpServer.ofService(group, host, port, this);
  }

  /**
   * Returns the port on which the server listens.
   *
   * @return the TCP port
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns the table behind the server.
   *
   * @return the table
   */
  public FakeTable table() {
    return table;
  }

  /** Stops listening. */
  public void close() {
    server.close();
  }

  @Override
  public CompletableFuture<HttpReply> serve(HttpServerRequest input) {
    return route(input)
        .exceptionally(
            error -> HttpReply.json(UNAVAILABLE, Json.object().put("error", error.getMessage())));
  }

  private CompletableFuture<HttpReply> route(HttpServerRequest input) {
    List<String> segments = input.segments();
    return switch (segments.get(0)) {
      case "table" -> serveTable(segments.get(1), Json.read(input.body()));
      case "instances" -> serveInstances(input);
      case "objects" -> serveObjects(input, segments.get(1));
      case "faults" -> setFaults(Json.read(input.body()));
      default -> CompletableFuture.completedFuture(HttpReply.text(NOT_FOUND, "not found"));
    };
  }

  private CompletableFuture<HttpReply> serveTable(String operation, JsonNode body) {
    return switch (operation) {
      case "read" ->
          table
              .read(TableJson.readKeys(body))
              .thenApply(rows -> HttpReply.json(OK, TableJson.rows(rows)));
      case "scan" ->
          table
              .scan(
                  body.path("table").asText(),
                  body.path("prefix").asText(),
                  body.path("afterKey").asText(),
                  body.path("limit").asInt())
              .thenApply(rows -> HttpReply.json(OK, TableJson.rows(rows)));
      default ->
          table
              .write(TableJson.readTransaction(body))
              .thenApply(written -> HttpReply.json(OK, Json.object().put("written", written)));
    };
  }

  private CompletableFuture<HttpReply> serveInstances(HttpServerRequest input) {
    if (input.method().equals("POST")) {
      return instances
          .announce(InstanceJson.read(Json.read(input.body())))
          .thenApply(nothing -> HttpReply.json(OK, Json.object()));
    }
    return instances
        .list()
        .thenApply(
            records -> {
              ArrayNode array = Json.array();
              records.forEach(record -> array.add(InstanceJson.write(record)));
              return HttpReply.json(OK, array);
            });
  }

  private CompletableFuture<HttpReply> serveObjects(HttpServerRequest input, String name) {
    if (input.method().equals("PUT")) {
      return objects
          .put(name, input.body())
          .thenApply(nothing -> HttpReply.json(OK, Json.object()));
    }
    return objects
        .get(name)
        .thenApply(
            found ->
                found
                    .map(body -> new HttpReply(OK, "application/octet-stream", body))
                    .orElseGet(() -> HttpReply.text(NOT_FOUND, "no such object")));
  }

  private CompletableFuture<HttpReply> setFaults(JsonNode body) {
    applyFault(table.faults(), body, "table");
    applyFault(objects.faults(), body, "objects");
    applyFault(instances.faults(), body, "instances");
    return CompletableFuture.completedFuture(HttpReply.json(OK, Json.object()));
  }

  private static void applyFault(FaultInjector faults, JsonNode body, String name) {
    if (body.has(name)) {
      faults.setFault(Fault.valueOf(body.path(name).asText()));
    }
    if (body.has("delayMs")) {
      faults.setDelayMs(body.path("delayMs").asLong());
    }
  }
}
