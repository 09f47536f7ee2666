package io.mothrill.wire.forward;

import io.mothrill.core.forward.crash.TerminationProbe;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Checks whether an upstream has terminated whose response ended with its connection; thread-safe.
 */
public final class EndCheck {

  /** Longer than other instances take to confirm that an upstream refuses connections. */
  private static final long MAX_WAIT_MS = 400;

  private final TerminationProbe probe;
  private final Predicate<RegisteredUpstream> isServing;
  private final Timers timers;

  /** What became of an upstream. */
  enum State {
    RUNNING,
    TERMINATED,
    /** It was not found out in time, for example as the upstream cannot be reached. */
    UNKNOWN,
    /** Not checked: an upstream that leaves may refuse connections while it completes responses. */
    LEAVING;

    /** Returns a description for the log. */
    String describe() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Creates the check.
   *
   * @param probe probes an upstream anew on each call
   * @param isServing checks whether an upstream is registered and not leaving
   * @param timers the timers
   */
  public EndCheck(TerminationProbe probe, Predicate<RegisteredUpstream> isServing, Timers timers) {
    this.probe = probe;
    this.isServing = isServing;
    this.timers = timers;
  }

  /**
   * Checks an upstream whose response has just ended.
   *
   * @param upstream the upstream
   * @param isRetryable whether another upstream may run the request, so that a whole response is
   *     not lost if it is taken for a part
   * @return the state; never fails
   */
  CompletableFuture<State> check(RegisteredUpstream upstream, boolean isRetryable) {
    if (!isRetryable && !isServing.test(upstream)) {
      return CompletableFuture.completedFuture(State.LEAVING);
    }
    CompletableFuture<State> result = new CompletableFuture<>();
    Subscription timeout = timers.after(MAX_WAIT_MS, () -> result.complete(State.UNKNOWN));
    probe
        .hasTerminated(upstream)
        .thenApply(terminated -> terminated ? State.TERMINATED : State.RUNNING)
        .exceptionally(error -> State.UNKNOWN)
        .thenAccept(
            state -> {
              timeout.cancel();
              result.complete(state);
            });
    return result;
  }
}
