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
 * Checks whether an upstream has terminated, or only closed or reset a connection, by connecting to
 * it again.
 *
 * <p>The host of a terminated process refuses connections to its port. A running process accepts
 * them, even while it resets some connections, fails requests or answers incorrectly. A process
 * behind a network partition does neither: it is probed again for a few seconds, because the
 * partition may hide its termination, and after that nothing is held against the request.
 */
public final class UpstreamProbe implements TerminationProbe {

  /**
   * A terminating process closes its connections and its port within milliseconds of each other. A
   * process that still accepts a connection is probed once more after this time.
   */
  private static final long SETTLE_MS = 25;

  /** Tens of round trips between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  /**
   * Maximum number of probes of an upstream that does not respond, one second apart including the
   * timeout. A terminated upstream has restarted after a few seconds, and then a probe shows
   * nothing any more.
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
   * @param timers the clock and timers
   */
  public UpstreamProbe(EventLoopGroup group, Timers timers) {
    this.group = group;
    this.timers = timers;
  }

  /** Shares one probe among all requests that an upstream breaks off at the same time. */
  @Override
  public CompletableFuture<Boolean> hasTerminated(RegisteredUpstream upstream) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    CompletableFuture<Boolean> pending = pendingProbes.putIfAbsent(upstream.incarnation(), result);
    if (pending != null) {
      return pending;
    }
    result.whenComplete(
        (terminated, error) -> pendingProbes.remove(upstream.incarnation(), result));
    probe(upstream, result, 1);
    return result;
  }

  private void probe(
      RegisteredUpstream upstream, CompletableFuture<Boolean> terminated, int attempt) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(upstream.host(), upstream.port())
        .addListener(
            (ChannelFuture connected) -> {
              boolean accepted = connected.isSuccess();
              if (accepted) {
                connected.channel().close();
              }
              if (!accepted && ConnectErrors.isConnectionRefused(connected.cause())) {
                terminated.complete(true);
              } else if (attempt >= (accepted ? MAX_PROBES_IF_ACCEPTED : MAX_PROBES)) {
                terminated.complete(false);
              } else {
                timers.after(
                    accepted ? SETTLE_MS : PROBE_INTERVAL_MS,
                    () -> probe(upstream, terminated, attempt + 1));
              }
            });
  }
}
