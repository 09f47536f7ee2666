package io.mothrill.lab.standin;

import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;
import org.kohsuke.args4j.Option;

/** {@code mothrill lab plain}: runs a stand-in for a plain service as a separate process. */
public final class PlainCommand extends StandInCommand {

  @Option(name = "--work-ms", metaVar = "MS", usage = "how long one call takes (default 5)")
  private long workMs = 5;

  @Override
  int start(EventLoopGroup group, NettyTimers timers, String listenHost, int listenPort) {
    return new PlainServer(group, timers, listenHost, listenPort, workMs).port();
  }
}
