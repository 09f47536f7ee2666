package io.mothrill.core.forward.path;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * Tells apart whether an upstream has failed or the path to it from this instance; thread-safe.
 *
 * <p>A path is broken if another instance reaches the upstream while this one does not. Connections
 * then go through other instances, and nothing is held against the upstream. One broken path is
 * reason to check all others, since a cut mostly concerns many; one that works again as well.
 */
public final class UpstreamPaths {

  private static final long CHECK_INTERVAL_MS = 200;

  /** Longer than the pauses of most streams, but too short for a caller to give up. */
  private static final long SILENCE_MS = 400;

  /** Many upstreams are silent at once when all are busy, which no probe has to confirm. */
  private static final long SILENCE_PROBE_INTERVAL_MS = 500;

  private static final long BROKEN_PROBE_INTERVAL_MS = 500;
  private static final long LOG_INTERVAL_MS = 1_000;

  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final BrokenPaths broken;
  private final PathProbe direct;
  private final PathWitnesses witnesses;
  private final PathListener listener;
  private final Timers timers;
  private final Map<String, Path> paths = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<PathOutcome>> diagnoses = new ConcurrentHashMap<>();
  private volatile long silenceProbedMs = Long.MIN_VALUE / 2;
  private volatile String loggedCounts = "";
  private volatile long loggedMs = Long.MIN_VALUE / 2;

  /** The path to one upstream. */
  private static final class Path {
    private volatile long lastContactMs;
    private volatile PathFailure failure;

    private Path(long nowMs) {
      this.lastContactMs = nowMs;
    }
  }

  /**
   * Creates the record and starts to check for silence.
   *
   * @param list the registered upstreams
   * @param loads the requests in flight at each of them
   * @param broken receives the broken paths
   * @param direct connects to upstreams from this instance
   * @param witnesses the other instances
   * @param listener receives failures of upstreams
   * @param timers the clock and timers
   */
  public UpstreamPaths(
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      BrokenPaths broken,
      PathProbe direct,
      PathWitnesses witnesses,
      PathListener listener,
      Timers timers) {
    this.list = list;
    this.loads = loads;
    this.broken = broken;
    this.direct = direct;
    this.witnesses = witnesses;
    this.listener = listener;
    this.timers = timers;
    list.subscribe(
        newest -> {
          paths.keySet().removeIf(incarnation -> !newest.containsIncarnation(incarnation));
          broken.retain(newest);
        });
    timers.every(CHECK_INTERVAL_MS, this::check);
    timers.every(BROKEN_PROBE_INTERVAL_MS, this::probeOneBrokenPath);
  }

  /**
   * Called when bytes of an upstream have arrived.
   *
   * @param upstream the upstream
   */
  public void onContact(RegisteredUpstream upstream) {
    Path path = pathTo(upstream);
    path.lastContactMs = timers.nowMs();
    path.failure = null;
  }

  /**
   * Called when a connection of this instance to an upstream has failed; finds out why.
   *
   * @param upstream the upstream
   * @param failure what was observed
   */
  public void onFailure(RegisteredUpstream upstream, PathFailure failure) {
    pathTo(upstream).failure = failure;
    switch (failure) {
      case REFUSED -> diagnose(upstream, Optional.of(PathOutcome.REFUSED));
      case TIMED_OUT -> diagnose(upstream, Optional.of(PathOutcome.UNREACHABLE));
      default -> diagnose(upstream);
    }
  }

  /**
   * Called when a request has failed at an upstream, which is avoided for a time unless the path
   * from here is the cause.
   *
   * @param upstream the upstream
   */
  public void onRequestFailed(RegisteredUpstream upstream) {
    if (!broken.contains(upstream)) {
      loads.of(upstream.incarnation()).onFailure(timers.nowMs());
    }
  }

  /**
   * Called when a connection through another instance was established while this instance got none
   * of its own.
   *
   * @param upstream the upstream
   * @param failure what happened to its own connection
   */
  public void onReachedByOthers(RegisteredUpstream upstream, PathFailure failure) {
    boolean first = broken.isEmpty();
    if (!broken.add(upstream, failure)) {
      return;
    }
    loads.of(upstream.incarnation()).clearFailures();
    if (first) {
      list.read().all().stream().filter(other -> !broken.contains(other)).forEach(this::diagnose);
    }
  }

  /**
   * Called when this instance has established a connection of its own.
   *
   * @param upstream the upstream
   */
  public void onReached(RegisteredUpstream upstream) {
    onContact(upstream);
    if (broken.remove(upstream)) {
      broken.all(list.read()).forEach(this::probeBrokenPath);
    }
  }

  /**
   * Checks whether the last connection of this instance was refused.
   *
   * @param upstream the upstream
   * @return true until the upstream is heard again
   */
  public boolean isRefused(RegisteredUpstream upstream) {
    return pathTo(upstream).failure == PathFailure.REFUSED;
  }

  /**
   * Finds out whether an upstream or the path to it has failed.
   *
   * @param upstream the upstream
   * @return what this instance and others together have found out; never fails
   */
  public CompletableFuture<PathOutcome> diagnose(RegisteredUpstream upstream) {
    return diagnose(
        upstream,
        broken.contains(upstream) ? Optional.of(PathOutcome.UNREACHABLE) : Optional.empty());
  }

  private CompletableFuture<PathOutcome> diagnose(
      RegisteredUpstream upstream, Optional<PathOutcome> observed) {
    CompletableFuture<PathOutcome> result = new CompletableFuture<>();
    CompletableFuture<PathOutcome> pending = diagnoses.putIfAbsent(upstream.incarnation(), result);
    if (pending != null) {
      return pending;
    }
    result.whenComplete((outcome, error) -> diagnoses.remove(upstream.incarnation(), result));
    observed
        .map(CompletableFuture::completedFuture)
        .orElseGet(() -> direct.probe(upstream))
        .thenCompose(outcome -> askUnlessReached(upstream, outcome))
        .whenComplete(
            (verdict, error) -> result.complete(error == null ? verdict : PathOutcome.UNKNOWN));
    return result;
  }

  private CompletableFuture<PathOutcome> askUnlessReached(
      RegisteredUpstream upstream, PathOutcome own) {
    if (own == PathOutcome.REACHED) {
      onReached(upstream);
      return CompletableFuture.completedFuture(own);
    }
    if (own == PathOutcome.REFUSED) {
      pathTo(upstream).failure = PathFailure.REFUSED;
    }
    return witnesses
        .ask(upstream, own)
        .thenApply(
            verdict -> {
              apply(upstream, own, verdict);
              return verdict;
            });
  }

  private void apply(RegisteredUpstream upstream, PathOutcome own, PathOutcome verdict) {
    switch (verdict) {
      case REACHED ->
          onReachedByOthers(
              upstream, own == PathOutcome.REFUSED ? PathFailure.REFUSED : PathFailure.TIMED_OUT);
      case REFUSED -> listener.onEnded(upstream);
      case UNREACHABLE -> listener.onUnreachable(upstream);
      default -> {
        // Nothing is known about the upstream beyond what the failed request has shown already.
      }
    }
  }

  private void probeOneBrokenPath() {
    broken.all(list.read()).stream().findAny().ifPresent(this::probeBrokenPath);
  }

  private void probeBrokenPath(RegisteredUpstream upstream) {
    direct
        .probe(upstream)
        .thenAccept(
            outcome -> {
              if (outcome == PathOutcome.REACHED) {
                onReached(upstream);
              }
            });
  }

  private Path pathTo(RegisteredUpstream upstream) {
    return paths.computeIfAbsent(upstream.incarnation(), unused -> new Path(timers.nowMs()));
  }

  private void check() {
    long nowMs = timers.nowMs();
    List<RegisteredUpstream> silent =
        list.read().all().stream().filter(upstream -> isSilent(upstream, nowMs)).toList();
    if (!silent.isEmpty() && nowMs - silenceProbedMs >= SILENCE_PROBE_INTERVAL_MS) {
      silenceProbedMs = nowMs;
      diagnose(silent.get((int) (nowMs / CHECK_INTERVAL_MS % silent.size())));
    }
    log(nowMs);
  }

  private boolean isSilent(RegisteredUpstream upstream, long nowMs) {
    Path path = pathTo(upstream);
    if (loads.of(upstream.incarnation()).inFlightCount() == 0) {
      path.lastContactMs = nowMs;
    } else if (path.failure == null && nowMs - path.lastContactMs > SILENCE_MS) {
      path.failure = PathFailure.SILENT;
    }
    return path.failure == PathFailure.SILENT && !broken.contains(upstream);
  }

  private void log(long nowMs) {
    PathCounts counts = counts();
    String text = counts.toString();
    if (!text.equals(loggedCounts) && nowMs - loggedMs >= LOG_INTERVAL_MS) {
      loggedCounts = text;
      loggedMs = nowMs;
      Logger.info(
          "paths to upstreams broken={} failing={} registered={} failures={}",
          counts.broken(),
          counts.failing(),
          counts.registered(),
          counts.byFailure());
    }
  }

  /**
   * Returns the counts for logs and metrics.
   *
   * @return the current counts
   */
  public PathCounts counts() {
    Map<PathFailure, Long> byFailure =
        paths.values().stream()
            .map(path -> path.failure)
            .filter(failure -> failure != null)
            .collect(Collectors.groupingBy(failure -> failure, Collectors.counting()));
    return new PathCounts(
        broken.size(),
        byFailure.values().stream().mapToInt(Long::intValue).sum(),
        list.read().all().size(),
        byFailure);
  }
}
