package io.mothrill.wire.caller;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.request.RequestService;
import io.mothrill.wire.http.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.List;

/** Listens for callers. */
public final class CallerServer {

  private final HttpServer server;

  /**
   * Starts to listen.
   *
   * @param group the event loops
   * @param host an IP address
   * @param port a TCP port; 0 for any
   * @param requests runs the requests
   * @param config the configuration in force
   * @param limits what one caller may take up
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
   * Gives the port.
   *
   * @return the port that is listened on
   */
  public int port() {
    return server.port();
  }

  /** Stops listening and closes all connections. */
  public void close() {
    server.close();
  }
}
