package io.mothrill.wire.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.tinylog.Logger;

/** Accepts the connections of callers; can refuse new ones for a while. */
final class CallerAcceptor {

  private final ServerBootstrap bootstrap;
  private final int port;
  private CallerListener socket;
  private Channel channel;
  private boolean closed;

  /**
   * Starts accepting connections.
   *
   * @param bootstrap initializes the connections
   * @param socket the listening socket
   */
  CallerAcceptor(ServerBootstrap bootstrap, CallerListener socket) {
    this.bootstrap = bootstrap;
    this.socket = socket;
    this.channel = register(socket).syncUninterruptibly().channel();
    this.port = ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private ChannelFuture register(CallerListener opened) {
    return bootstrap
        .clone()
        .channelFactory(() -> new NioServerSocketChannel(opened.channel()))
        .register();
  }

  int port() {
    return port;
  }

  /**
   * Accepts or refuses new connections. A refused caller hears it at once, whereas one that waits
   * in the queue of a socket would lose the time.
   */
  synchronized void setAccepting(boolean accepting) {
    if (closed || accepting == (channel != null)) {
      return;
    }
    if (accepting) {
      reopen();
    } else {
      channel.close();
      channel = null;
    }
  }

  private void reopen() {
    try {
      socket = socket.reopen();
      channel = register(socket).channel();
    } catch (UncheckedIOException ex) {
      Logger.warn("callers' port cannot be opened again yet: {}", ex.getMessage());
    }
  }

  /** Accepts no connections any more. */
  synchronized void close() {
    closed = true;
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }
}
