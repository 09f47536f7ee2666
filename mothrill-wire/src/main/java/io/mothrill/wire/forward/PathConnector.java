package io.mothrill.wire.forward;

import io.mothrill.core.forward.path.BrokenPaths;
import io.mothrill.core.forward.path.PathFailure;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.path.UpstreamPaths;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Connects to upstreams directly, and through another instance where the direct path is broken or
 * does not answer soon.
 */
final class PathConnector implements UpstreamConnector {

  /** Tens of round trips between failure domains, and a part of the shortest usual target. */
  private static final int RELAY_AFTER_MS = 100;

  private final EventLoop loop;
  private final UpstreamConnector direct;
  private final UpstreamConnector relayed;
  private final BrokenPaths broken;
  private final UpstreamPaths paths;

  PathConnector(
      EventLoop loop,
      UpstreamConnector direct,
      UpstreamConnector relayed,
      BrokenPaths broken,
      UpstreamPaths paths) {
    this.loop = loop;
    this.direct = direct;
    this.relayed = relayed;
    this.broken = broken;
    this.paths = paths;
  }

  @Override
  public void connect(Target target, Listener listener) {
    Attempt attempt = new Attempt(target, listener);
    if (broken.contains(target.upstream())) {
      attempt.startRelayed();
    } else {
      attempt.startDirect();
    }
  }

  /** Tries both ways; the first connection is used. */
  private final class Attempt {
    private final Target target;
    private final Listener listener;
    private boolean directStarted;
    private boolean relayedStarted;
    private Optional<PathOutcome> directOutcome = Optional.empty();
    private Optional<PathOutcome> relayedOutcome = Optional.empty();
    private String detail = "";
    private boolean done;

    Attempt(Target target, Listener listener) {
      this.target = target;
      this.listener = listener;
    }

    void startDirect() {
      directStarted = true;
      direct.connect(target, Listener.of(this::onDirect, this::onDirectFailed));
      Future<?> unused = loop.schedule(this::startRelayed, RELAY_AFTER_MS, TimeUnit.MILLISECONDS);
    }

    void startRelayed() {
      if (done || relayedStarted) {
        return;
      }
      relayedStarted = true;
      relayed.connect(target, Listener.of(this::onRelayed, this::onRelayedFailed));
    }

    private void onDirect(UpstreamConnection connection) {
      directOutcome = Optional.of(PathOutcome.REACHED);
      paths.onReached(target.upstream());
      use(connection);
    }

    private void onRelayed(UpstreamConnection connection) {
      if (directOutcome.isEmpty() || directOutcome.get() != PathOutcome.REACHED) {
        paths.onReachedByOthers(
            target.upstream(),
            directOutcome.equals(Optional.of(PathOutcome.REFUSED))
                ? PathFailure.REFUSED
                : PathFailure.TIMED_OUT);
      }
      use(connection);
    }

    private void use(UpstreamConnection connection) {
      if (done) {
        connection.close();
        return;
      }
      done = true;
      listener.onConnected(connection);
    }

    private void onDirectFailed(PathOutcome outcome, String newDetail) {
      directOutcome = Optional.of(outcome);
      detail = newDetail;
      startRelayed();
      failIfBothFailed();
    }

    private void onRelayedFailed(PathOutcome outcome, String newDetail) {
      relayedOutcome = Optional.of(outcome);
      if (detail.isEmpty()) {
        detail = newDetail;
      }
      if (!directStarted && outcome == PathOutcome.REFUSED) {
        directOutcome = Optional.of(PathOutcome.UNREACHABLE);
      } else if (!directStarted) {
        startDirect();
      }
      failIfBothFailed();
    }

    private void failIfBothFailed() {
      if (done || directOutcome.isEmpty() || relayedOutcome.isEmpty()) {
        return;
      }
      done = true;
      paths.onFailure(
          target.upstream(),
          directOutcome.get() == PathOutcome.REFUSED ? PathFailure.REFUSED : PathFailure.TIMED_OUT);
      listener.onFailed(directOutcome.get(), detail);
    }
  }
}
