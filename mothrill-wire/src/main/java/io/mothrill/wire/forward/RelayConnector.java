package io.mothrill.wire.forward;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.path.RelayCandidates;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.wire.relay.RelayClient;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** Connects to upstreams through other instances, trying one after the other. */
final class RelayConnector implements UpstreamConnector {

  private static final int MAX_TRIED = 3;

  /** Several round trips, and the time in which the other instance connects to the upstream. */
  private static final int MAX_TIMEOUT_MS = 250;

  private final EventLoop loop;
  private final RelayClient client;
  private final RelayCandidates candidates;
  private final Function<Target, UpstreamConnection> connections;

  RelayConnector(
      EventLoop loop,
      RelayClient client,
      RelayCandidates candidates,
      Function<Target, UpstreamConnection> connections) {
    this.loop = loop;
    this.client = client;
    this.candidates = candidates;
    this.connections = connections;
  }

  @Override
  public void connect(Target target, Listener listener) {
    Deque<InstanceRecord> remaining =
        new ArrayDeque<>(candidates.rank().stream().limit(MAX_TRIED).toList());
    tryNext(target, remaining, PathOutcome.UNKNOWN, listener);
  }

  private void tryNext(
      Target target, Deque<InstanceRecord> remaining, PathOutcome last, Listener listener) {
    if (remaining.isEmpty()) {
      listener.onFailed(last, "no other instance reaches the upstream: " + last);
      return;
    }
    InstanceRecord relay = remaining.poll();
    UpstreamConnection connection = connections.apply(target);
    candidates.onOpened(relay);
    client.open(
        relay,
        new RelayClient.Target(
            target.upstream(),
            target.requestId(),
            Math.min(MAX_TIMEOUT_MS, target.timeoutMs()),
            loop,
            new LimitedReads(connection::maxReadBytes),
            UpstreamPool.WATER_MARK,
            connection::addTo),
        channel -> onOpened(channel, relay, connection, listener),
        outcome -> {
          candidates.onClosed(relay);
          if (outcome != PathOutcome.REFUSED) {
            candidates.onFailed(relay);
          }
          tryNext(target, remaining, moreTelling(last, outcome), listener);
        });
  }

  private void onOpened(
      Channel channel, InstanceRecord relay, UpstreamConnection connection, Listener listener) {
    channel.closeFuture().addListener(closed -> candidates.onClosed(relay));
    connection.setRelay(relay.id());
    // Runs after the reads of this turn, in which the caller's close may be found.
    loop.execute(() -> listener.onConnected(connection));
  }

  private static PathOutcome moreTelling(PathOutcome last, PathOutcome next) {
    return last == PathOutcome.REFUSED || next == PathOutcome.UNKNOWN ? last : next;
  }
}
