package io.mothrill.wire.caller;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.request.RequestService;
import io.mothrill.wire.http.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.List;

/** The HTTP server for callers. */
public final class CallerServer {

  private final HttpServer server;

  /**
   * Starts listening.
   *
   * @param group the event loops
   * @param host an IP address
   * @param port a TCP port; 0 for any
   * @param requests executes the requests
   * @param config the configuration in force
   * @param limits the resource limits of one caller connection
   */
  public CallerServer(
      EventLoopGroup group,
      String host,
      int port,
      RequestService requests,
      PublishedValue<ConfigSnapshot> config,
      CallerLimits limits) {
    this.server =
        new HttpServer(
            group,
            host,
            port,
            () ->
                List.of(
                    new FlushConsolidationHandler(), new CallerHandler(requests, config, limits)));
  }

  /**
   * Returns the port.
   *
   * @return the listening port
   */
  public int port() {
    return server.port();
  }

  /** Stops listening and closes all connections. */
  public void close() {
    server.close();
  }
}
