package io.mothrill.lab.standin;

import io.mothrill.core.time.Timers;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpServer;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.http.HttpService;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.upstream.UpstreamHeaders;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for a plain service, such as one that calls queue tickets.
 *
 * <p>It counts how often each body was served, so that a ticket that is called twice is detected.
 */
public final class PlainServer implements HttpService {

  private static final int OK = 200;

  private final Timers timers;
  private final long workMs;
  private final Map<String, Integer> served = new ConcurrentHashMap<>();
  private final HttpServer server;

  /**
   * Starts a service.
   *
   * @param group the event loops
   * @param timers the clock and timers
   * @param host the IP address to listen on
   * @param port the TCP port; 0 for any free port
   * @param workMs the duration of one call
   */
  public PlainServer(EventLoopGroup group, Timers timers, String host, int port, long workMs) {
    this.timers = timers;
    this.workMs = workMs;
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
   * Returns how often each body was served.
   *
   * @return the counts by body
   */
  public Map<String, Integer> served() {
    return Map.copyOf(served);
  }

  /** Stops immediately, as in a crash. */
  public void close() {
    server.close();
  }

  @Override
  public CompletableFuture<HttpReply> serve(HttpServerRequest input) {
    String body = new String(input.body(), StandardCharsets.UTF_8);
    served.merge(body, 1, Integer::sum);
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    String requestId = input.headers().get(UpstreamHeaders.REQUEST_ID, "");
    HttpReply answer =
        HttpReply.json(
            OK, Json.object().put("path", input.path()).put("done", body).put("id", requestId));
    timers.after(workMs, () -> reply.complete(answer));
    return reply;
  }
}
