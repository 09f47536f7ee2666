package io.mothrill.wire.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Lets the operating system close relayed connections whose other instance has lost power or its
 * network.
 *
 * <p>Such an instance closes nothing, and a relay that waits for a response sends it nothing that
 * could fail.
 */
final class KeepAlive {

  /** Longer than the pauses of a stream, so that no probes are sent while it runs. */
  private static final int IDLE_S = 5;

  private static final int INTERVAL_S = 1;
  private static final int MAX_UNANSWERED = 4;

  private KeepAlive() {}

  static void enable(Channel channel) {
    channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
    channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_S);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_S);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED);
  }
}
