package io.mothrill.lab.standin;

import io.mothrill.wire.time.NettyTimers;
import io.netty.channel.EventLoopGroup;
import org.kohsuke.args4j.Option;

/** {@code mothrill lab engine}: runs a stand-in for a model engine as a separate process. */
public final class EngineCommand extends StandInCommand {

  @Option(name = "--slots", metaVar = "N", usage = "sequences batched at once (default 16)")
  private int slots = 16;

  @Option(name = "--step-ms", metaVar = "MS", usage = "time per token (default 5)")
  private long stepMs = 5;

  @Override
  int start(EventLoopGroup group, NettyTimers timers, String listenHost, int listenPort) {
    EngineSettings small = EngineSettings.small();
    EngineSettings settings =
        new EngineSettings(
            slots, stepMs, small.prefillTokensPerStep(), small.cachePrefixes(), small.loadLagMs());
    return new EngineServer(group, timers, listenHost, listenPort, settings).port();
  }
}
