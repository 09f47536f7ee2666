package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.concurrent.CompletableFuture;

/** Probes whether an upstream whose connection was lost has terminated. */
@FunctionalInterface
public interface TerminationProbe {

  /**
   * Probes an upstream.
   *
   * @param upstream the upstream
   * @return true if its process has terminated; false if it still answers or the state is unknown
   */
  CompletableFuture<Boolean> hasTerminated(RegisteredUpstream upstream);

  /**
   * Checks whether this instance already knows that connections are refused, while other instances
   * have not confirmed it yet.
   *
   * @param upstream the upstream
   * @return true if it has most likely terminated
   */
  default boolean refusesConnections(RegisteredUpstream upstream) {
    return false;
  }
}
