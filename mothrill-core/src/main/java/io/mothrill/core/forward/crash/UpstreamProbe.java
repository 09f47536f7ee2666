package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.path.PathProbe;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
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

  /**
   * Maximum number of probes of an upstream that does not respond, one second apart including the
   * timeout. A terminated upstream has restarted after a few seconds, and then a probe shows
   * nothing any more.
   */
  private static final int MAX_PROBES = 4;

  private static final int MAX_PROBES_IF_ACCEPTED = 2;

  private static final long PROBE_INTERVAL_MS = 500;

  private final PathProbe pathProbe;
  private final Timers timers;
  private final Map<String, CompletableFuture<Boolean>> pendingProbes = new ConcurrentHashMap<>();

  /**
   * Creates the probe.
   *
   * @param pathProbe connects to upstreams
   * @param timers the clock and timers
   */
  public UpstreamProbe(PathProbe pathProbe, Timers timers) {
    this.pathProbe = pathProbe;
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
    pathProbe
        .probe(upstream)
        .thenAccept(
            outcome -> {
              boolean accepted = outcome == PathOutcome.REACHED;
              if (outcome == PathOutcome.REFUSED) {
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
