package io.mothrill.wire.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;

/**
 * An HTTP server on one port.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.ofService(group, "127.0.0.1", 0, request -> respond(request));
 * int port = server.port();
 * }</pre>
 */
public final class HttpServer {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 8_192;
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int LOW_WATER_BYTES = 32 * 1024;
  private static final int HIGH_WATER_BYTES = 64 * 1024;

  private final Channel listener;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /**
   * Starts listening.
   *
   * @param group the event loops
   * @param host an IP address
   * @param port a TCP port; 0 for any
   * @param handlers creates the handlers that follow the codec in the pipeline of a connection
   */
  public HttpServer(
      EventLoopGroup group, String host, int port, Supplier<List<ChannelHandler>> handlers) {
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
                    handlers.get().forEach(channel.pipeline()::addLast);
                  }
                })
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Starts a server for complete requests and responses.
   *
   * @param group the event loops
   * @param host an IP address
   * @param port a TCP port; 0 for any
   * @param service handles the requests
   * @return the server
   */
  public static HttpServer ofService(
      EventLoopGroup group, String host, int port, HttpService service) {
    return new HttpServer(
        group,
        host,
        port,
        () -> List.of(new HttpObjectAggregator(MAX_BODY_BYTES), new ServiceHandler(service)));
  }

  /**
   * Returns the port.
   *
   * @return the listening port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops listening and closes all connections. */
  public void close() {
    stopListening();
    connections.close();
  }

  /** Stops listening; open connections are kept. */
  public void stopListening() {
    listener.close().syncUninterruptibly();
  }
}
