package io.mothrill.core.forward.path;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.concurrent.CompletableFuture;

/**
 * Probes upstreams from this instance, and asks other instances about those that it does not reach.
 */
public final class WitnessedPathProbe implements PathProbe {

  private final PathProbe direct;
  private final PathWitnesses witnesses;

  /**
   * Creates a probe.
   *
   * @param direct connects to upstreams from this instance
   * @param witnesses the other instances
   */
  public WitnessedPathProbe(PathProbe direct, PathWitnesses witnesses) {
    this.direct = direct;
    this.witnesses = witnesses;
  }

  @Override
  public CompletableFuture<PathOutcome> probe(RegisteredUpstream upstream) {
    return direct
        .probe(upstream)
        .thenCompose(
            own ->
                own == PathOutcome.REACHED
                    ? CompletableFuture.completedFuture(own)
                    : witnesses.ask(upstream, own));
  }
}
