package io.mothrill.core.forward.path;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/** Records on which paths this instance has contact to upstreams; thread-safe. */
public final class UpstreamPaths {

  private static final long CHECK_INTERVAL_MS = 200;

  /** Longer than the pauses of most streams, but too short for a caller to give up. */
  private static final long SILENCE_MS = 400;

  private static final long LOG_INTERVAL_MS = 1_000;

  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final Timers timers;
  private final Map<String, Path> paths = new ConcurrentHashMap<>();
  private volatile int loggedCount;
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
   * @param timers the clock and timers
   */
  public UpstreamPaths(PublishedValue<UpstreamList> list, UpstreamLoads loads, Timers timers) {
    this.list = list;
    this.loads = loads;
    this.timers = timers;
    list.subscribe(
        newest -> paths.keySet().removeIf(incarnation -> !newest.containsIncarnation(incarnation)));
    timers.every(CHECK_INTERVAL_MS, this::check);
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
   * Called when a connection to an upstream has failed.
   *
   * @param upstream the upstream
   * @param failure what was observed
   */
  public void onFailure(RegisteredUpstream upstream, PathFailure failure) {
    pathTo(upstream).failure = failure;
  }

  private Path pathTo(RegisteredUpstream upstream) {
    return paths.computeIfAbsent(upstream.incarnation(), unused -> new Path(timers.nowMs()));
  }

  private void check() {
    long nowMs = timers.nowMs();
    list.read().all().forEach(upstream -> checkSilence(upstream, nowMs));
    PathCounts counts = counts();
    if (counts.failing() != loggedCount && nowMs - loggedMs >= LOG_INTERVAL_MS) {
      loggedCount = counts.failing();
      loggedMs = nowMs;
      Logger.info(
          "paths to upstreams failing={} registered={} failures={}",
          counts.failing(),
          counts.registered(),
          counts.byFailure());
    }
  }

  private void checkSilence(RegisteredUpstream upstream, long nowMs) {
    Path path = pathTo(upstream);
    if (loads.of(upstream.incarnation()).inFlightCount() == 0) {
      path.lastContactMs = nowMs;
    } else if (path.failure == null && nowMs - path.lastContactMs > SILENCE_MS) {
      path.failure = PathFailure.SILENT;
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
        byFailure.values().stream().mapToInt(Long::intValue).sum(),
        list.read().all().size(),
        byFailure);
  }
}
