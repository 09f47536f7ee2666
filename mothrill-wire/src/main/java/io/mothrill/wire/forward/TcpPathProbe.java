package io.mothrill.wire.forward;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.path.PathProbe;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.wire.http.ConnectErrors;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.CompletableFuture;

/** Probes upstreams by opening a connection, which is closed at once. */
public final class TcpPathProbe implements PathProbe {

  /** Tens of round trips between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 200;

  private final EventLoopGroup group;

  /**
   * Creates a probe.
   *
   * @param group the event loops
   */
  public TcpPathProbe(EventLoopGroup group) {
    this.group = group;
  }

  @Override
  public CompletableFuture<PathOutcome> probe(RegisteredUpstream upstream) {
    CompletableFuture<PathOutcome> result = new CompletableFuture<>();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(upstream.host(), upstream.port())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected.channel().close();
                result.complete(PathOutcome.REACHED);
              } else {
                result.complete(ConnectErrors.outcomeOf(connected.cause()));
              }
            });
    return result;
  }
}
