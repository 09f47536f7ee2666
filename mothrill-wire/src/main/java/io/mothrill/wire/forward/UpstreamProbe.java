package io.mothrill.wire.forward;

import io.mothrill.core.forward.crash.TerminationProbe;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tells an upstream that has ended from one that closed or reset a connection, by connecting again.
 *
 * <p>The machine of a process that has ended refuses connections to its port. One that goes on
 * takes them, also while it resets some, fails requests or answers wrongly. One behind a cut does
 * neither: it is asked again for some seconds, as a cut may hide an end, and then nothing is said
 * against the request.
 */
public final class UpstreamProbe implements TerminationProbe {

  /**
   * A process that ends closes its connections and its port within milliseconds of each other. One
   * that still takes a connection is looked at once more after this time.
   */
  private static final long SETTLE_MS = 25;

  /** Tens of round trips between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  /**
   * Looks at an upstream that gives no sign, a second apart with the timeout. An upstream that
   * ended is back after some seconds, and then nothing is to be found out any more.
   */
  private static final int MAX_PROBES = 4;

  private static final int MAX_PROBES_IF_ACCEPTED = 2;

  private static final long PROBE_INTERVAL_MS = 500;

  private final EventLoopGroup group;
  private final Timers timers;
  private final Map<String, CompletableFuture<Boolean>> pendingProbes = new ConcurrentHashMap<>();

  /**
   * Creates the probe.
   *
   * @param group the event loops
   * @param timers the time
   */
  public UpstreamProbe(EventLoopGroup group, Timers timers) {
    this.group = group;
    this.timers = timers;
  }

  /** Looks once for all requests that an upstream breaks off at the same time. */
  @Override
  public CompletableFuture<Boolean> hasTerminated(RegisteredUpstream upstream) {
    CompletableFuture<Boolean> first = new CompletableFuture<>();
    CompletableFuture<Boolean> running = pendingProbes.putIfAbsent(upstream.incarnation(), first);
    if (running != null) {
      return running;
    }
    first.whenComplete((ended, error) -> pendingProbes.remove(upstream.incarnation(), first));
    probe(upstream, first, 1);
    return first;
  }

  private void probe(RegisteredUpstream upstream, CompletableFuture<Boolean> ended, int number) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(upstream.host(), upstream.port())
        .addListener(
            (ChannelFuture connected) -> {
              boolean taken = connected.isSuccess();
              if (taken) {
                connected.channel().close();
              }
              if (!taken && ConnectErrors.isConnectionRefused(connected.cause())) {
                ended.complete(true);
              } else if (number >= (taken ? MAX_PROBES_IF_ACCEPTED : MAX_PROBES)) {
                ended.complete(false);
              } else {
                timers.after(
                    taken ? SETTLE_MS : PROBE_INTERVAL_MS,
                    () -> probe(upstream, ended, number + 1));
              }
            });
  }
}
