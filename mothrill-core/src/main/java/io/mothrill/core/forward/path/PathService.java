package io.mothrill.core.forward.path;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Decides what this instance tells and does for instances that have lost their paths. */
public final class PathService {

  private final PublishedValue<UpstreamList> list;
  private final BrokenPaths broken;
  private final BooleanSupplier isLeaving;

  /**
   * Creates the service.
   *
   * @param list the registered upstreams
   * @param broken the broken paths of this instance
   * @param isLeaving checks whether this instance is draining
   */
  public PathService(
      PublishedValue<UpstreamList> list, BrokenPaths broken, BooleanSupplier isLeaving) {
    this.list = list;
    this.broken = broken;
    this.isLeaving = isLeaving;
  }

  /**
   * Finds an upstream to which this instance may connect for another one.
   *
   * @param incarnation the incarnation of the upstream
   * @return the upstream; empty if it is not registered here, this instance has no path to it
   *     either, or is draining
   */
  public Optional<RegisteredUpstream> findReachable(String incarnation) {
    return isLeaving.getAsBoolean()
        ? Optional.empty()
        : list.read().findIncarnation(incarnation).filter(upstream -> !broken.contains(upstream));
  }

  /**
   * Answers a check of another instance.
   *
   * @param incarnation the incarnation of the upstream
   * @param probe connects to upstreams
   * @return what is known or found out here
   */
  public CompletableFuture<PathOutcome> check(String incarnation, PathProbe probe) {
    return findReachable(incarnation)
        .map(upstream -> probe.probe(upstream).thenApply(this::withDoubts))
        .orElse(CompletableFuture.completedFuture(PathOutcome.UNKNOWN));
  }

  /**
   * Weakens an outcome if this instance has lost other paths, so that the failure may be its own.
   *
   * @param outcome what was observed
   * @return what it shows about the upstream
   */
  public PathOutcome withDoubts(PathOutcome outcome) {
    return outcome == PathOutcome.REACHED || broken.isEmpty() ? outcome : PathOutcome.UNKNOWN;
  }
}
