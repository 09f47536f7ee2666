package io.mothrill.lab.standin;

import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;

/** {@code mothrill lab platform}: runs a stand-in for the platform as a separate process. */
public final class PlatformCommand extends StandInCommand {

  @Override
  int start(EventLoopGroup group, NettyTimers timers, String listenHost, int listenPort) {
    return new PlatformServer(group, timers, listenHost, listenPort).port();
  }
}
