package io.mothrill.lab.standin;

import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;

/** {@code mothrill lab platform}: the platform's stand-in as a process of its own. */
public final class PlatformCommand extends StandInCommand {

  @Override
  int start(EventLoopGroup group, NettyTimers timers, String listenHost, int listenPort) {
    return new PlatformServer(group, timers, listenHost, listenPort).port();
  }
}
