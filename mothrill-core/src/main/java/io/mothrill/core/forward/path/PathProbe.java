package io.mothrill.core.forward.path;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.concurrent.CompletableFuture;

/** Checks whether an upstream can be reached. */
@FunctionalInterface
public interface PathProbe {

  /**
   * Probes an upstream.
   *
   * @param upstream the upstream
   * @return the outcome; never fails
   */
  CompletableFuture<PathOutcome> probe(RegisteredUpstream upstream);
}
