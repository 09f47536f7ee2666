package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.concurrent.CompletableFuture;

/** Finds out whether an upstream whose connection broke has ended. */
@FunctionalInterface
public interface TerminationProbe {

  /**
   * Looks at an upstream.
   *
   * @param upstream the upstream
   * @return true when its process has ended; false when it still answers, or nobody can tell
   */
  CompletableFuture<Boolean> hasTerminated(RegisteredUpstream upstream);
}
