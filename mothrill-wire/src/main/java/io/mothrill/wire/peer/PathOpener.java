package io.mothrill.wire.peer;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.peer.PeerMessage;
import io.netty.channel.Channel;
import java.util.function.Consumer;

/** Connects to upstreams for other instances. */
public interface PathOpener {

  /** Opens no connections. */
  PathOpener NONE = (request, from, reply, onStarted) -> reply.accept(PathOutcome.UNKNOWN);

  /**
   * Opens a connection to an upstream.
   *
   * @param request what is asked
   * @param from the connection of the other instance, on whose event loop everything runs
   * @param reply receives the outcome, once
   * @param onStarted must be called after the outcome and before bytes are relayed; removes the
   *     handlers for messages
   */
  void open(
      PeerMessage.OpenPath request, Channel from, Consumer<PathOutcome> reply, Runnable onStarted);
}
