package io.mothrill.wire.relay;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketOption;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;

// Guards against relayed connections of an instance that lost power, which would stay open until
// the relaying instance can take no more and hold up its drain.
class KeepAliveTest {

  /** The time after which an instance without power must not take up a place any more. */
  private static final int MAX_DETECTION_S = 10;

  @Test
  void silentEndOfTheOtherInstanceIsNoticedInTime() throws IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Channel channel =
          new Bootstrap()
              .group(group)
              .channel(NioSocketChannel.class)
              .handler(new ChannelInboundHandlerAdapter())
              .connect(server.getLocalSocketAddress())
              .syncUninterruptibly()
              .channel();

      KeepAlive.enable(channel);

      int idleS = option(channel, ExtendedSocketOptions.TCP_KEEPIDLE);
      int intervalS = option(channel, ExtendedSocketOptions.TCP_KEEPINTERVAL);
      int probes = option(channel, ExtendedSocketOptions.TCP_KEEPCOUNT);
      assertThat(channel.config().getOption(ChannelOption.SO_KEEPALIVE)).isTrue();
      assertThat(idleS + intervalS * probes).isAtMost(MAX_DETECTION_S);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static int option(Channel channel, SocketOption<Integer> option) {
    return channel.config().getOption(NioChannelOption.of(option));
  }
}
