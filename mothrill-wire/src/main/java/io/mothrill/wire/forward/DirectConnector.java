package io.mothrill.wire.forward;

import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.mothrill.wire.connection.ConnectionEndHandler;
import io.mothrill.wire.connection.ReceivingSocketChannel;
import io.mothrill.wire.http.ConnectErrors;
import io.mothrill.wire.work.WorkMeter;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.function.Function;

/** Connects to upstreams from this instance. */
final class DirectConnector implements UpstreamConnector {

  private final EventLoop loop;
  private final Function<Target, UpstreamConnection> connections;
  private final WorkStats workStats;

  DirectConnector(
      EventLoop loop, Function<Target, UpstreamConnection> connections, WorkStats workStats) {
    this.loop = loop;
    this.connections = connections;
    this.workStats = workStats;
  }

  @Override
  public void connect(Target target, Listener listener) {
    UpstreamConnection connection = connections.apply(target);
    new Bootstrap()
        .group(loop)
        .channel(ReceivingSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamPool.WATER_MARK)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new LimitedReads(connection::maxReadBytes))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, target.timeoutMs())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new WorkMeter(workStats, WorkKind.UPSTREAM))
                    .addLast(new ConnectionEndHandler());
                connection.addTo(channel.pipeline());
              }
            })
        .connect(target.upstream().host(), target.upstream().port())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                // Runs after the reads of this turn, in which the caller's close may be found.
                loop.execute(() -> listener.onConnected(connection));
              } else {
                listener.onFailed(
                    ConnectErrors.outcomeOf(connected.cause()),
                    String.valueOf(connected.cause().getMessage()));
              }
            });
  }
}
