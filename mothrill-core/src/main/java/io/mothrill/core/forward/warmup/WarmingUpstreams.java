package io.mothrill.core.forward.warmup;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.WarmUpListener;
import io.mothrill.core.time.Timers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Tracks which upstreams are warming up, from their reports and terminations.
 *
 * <p>The remaining time that an upstream reports counts from when the report was read, so a warm-up
 * is assumed to last longer by the age of the report, never shorter. A new upstream that reports
 * nothing is assumed to have just started.
 *
 * <p>An upstream that refuses connections may restart under its id, so it is assumed to be warming
 * up until a restart must be visible in the list. When the evacuation of a failure domain ends, its
 * idle upstreams may have become cold, so they are assumed to be warming up until they report
 * otherwise.
 */
public final class WarmingUpstreams implements WarmUpListener {

  /**
   * After a termination the list shows the restart within a heartbeat and a read, or the upstream
   * disappears after three missed heartbeats; this is longer than both.
   */
  private static final long RESTART_VISIBLE_MS = 5_000;

  private final Function<String, Optional<WarmUpPlan>> plans;
  private final Timers timers;
  private volatile Map<String, TrackedUpstream> tracked = Map.of();
  private Set<String> evacuated;
  private final Map<String, Long> terminatedMs = new ConcurrentHashMap<>();

  /** An upstream as last read, and the end of its warm-up. */
  private record TrackedUpstream(RegisteredUpstream upstream, long untilMs) {

    TrackedUpstream warmingUntil(long laterMs) {
      return new TrackedUpstream(upstream, laterMs);
    }
  }

  /**
   * Creates the tracker and subscribes to the list.
   *
   * @param list the registered upstreams
   * @param evacuatedDomains the failure domains that operators are evacuating
   * @param plans the warm-up of a service's upstreams; empty if it is not limited
   * @param timers the clock
   */
  public WarmingUpstreams(
      PublishedValue<UpstreamList> list,
      PublishedValue<Set<String>> evacuatedDomains,
      Function<String, Optional<WarmUpPlan>> plans,
      Timers timers) {
    this.plans = plans;
    this.timers = timers;
    this.evacuated = evacuatedDomains.read();
    list.subscribe(this::track);
    evacuatedDomains.subscribe(this::onEvacuations);
  }

  private synchronized void onEvacuations(Set<String> evacuatedNow) {
    Set<String> reopenedDomains = new HashSet<>(evacuated);
    reopenedDomains.removeAll(evacuatedNow);
    evacuated = evacuatedNow;
    Map<String, TrackedUpstream> next = new HashMap<>(tracked);
    next.replaceAll(
        (incarnation, found) ->
            reopenedDomains.contains(found.upstream().domain())
                ? found.warmingUntil(restartedWarmUpEnd(found))
                : found);
    tracked = next;
  }

  private long restartedWarmUpEnd(TrackedUpstream found) {
    long durationMs = durationMs(found.upstream().service());
    return Math.max(found.untilMs(), timers.nowMs() + durationMs);
  }

  private synchronized void track(UpstreamList list) {
    boolean first = tracked.isEmpty();
    Map<String, TrackedUpstream> next = new HashMap<>();
    list.all().forEach(upstream -> next.put(upstream.incarnation(), track(upstream, first)));
    tracked = next;
    terminatedMs.keySet().retainAll(next.keySet());
  }

  private TrackedUpstream track(RegisteredUpstream upstream, boolean first) {
    TrackedUpstream before = tracked.get(upstream.incarnation());
    if (before != null && before.upstream().equals(upstream)) {
      return before;
    }
    terminatedMs.remove(upstream.incarnation());
    OptionalLong reportedMs = upstream.warmUpRemainingMs();
    long remainingMs =
        reportedMs.orElseGet(() -> before != null || first ? 0 : durationMs(upstream.service()));
    boolean starts = remainingMs > 0 && (before == null || before.untilMs() <= timers.nowMs());
    if (starts) {
      Logger.info(
          "upstream is warming up upstream={} leftMs={}", upstream.incarnation(), remainingMs);
    }
    return new TrackedUpstream(upstream, timers.nowMs() + remainingMs);
  }

  private long durationMs(String service) {
    return plans.apply(service).map(WarmUpPlan::durationMs).orElse(0L);
  }

  @Override
  public void onWarmUpReported(RegisteredUpstream upstream, long remainingMs) {
    if (remainingMs > 0 || isWarming(upstream)) {
      applyReport(upstream, remainingMs);
    }
  }

  private synchronized void applyReport(RegisteredUpstream upstream, long remainingMs) {
    TrackedUpstream before = tracked.get(upstream.incarnation());
    if (before == null) {
      return;
    }
    Map<String, TrackedUpstream> next = new HashMap<>(tracked);
    next.put(
        upstream.incarnation(),
        new TrackedUpstream(before.upstream(), timers.nowMs() + remainingMs));
    tracked = next;
    terminatedMs.remove(upstream.incarnation());
  }

  @Override
  public void onProcessEnded(RegisteredUpstream upstream) {
    if (tracked.containsKey(upstream.incarnation())) {
      terminatedMs.put(upstream.incarnation(), timers.nowMs());
    }
  }

  /**
   * Checks whether an upstream is warming up.
   *
   * @param upstream the upstream
   * @return true if it is, or may be after a termination
   */
  public boolean isWarming(RegisteredUpstream upstream) {
    return remainingMs(upstream) > 0;
  }

  /**
   * Returns the number of upstreams that are warming up.
   *
   * @return the number of upstreams
   */
  public long warmingCount() {
    return tracked.values().stream().map(TrackedUpstream::upstream).filter(this::isWarming).count();
  }

  /**
   * Returns the remaining warm-up time of an upstream.
   *
   * @param upstream the upstream
   * @return milliseconds; 0 if it is warm
   */
  public long remainingMs(RegisteredUpstream upstream) {
    TrackedUpstream found = tracked.get(upstream.incarnation());
    long reportedMs = found == null ? durationMs(upstream.service()) : remaining(found.untilMs());
    Long terminated = terminatedMs.get(upstream.incarnation());
    return terminated == null
        ? reportedMs
        : Math.max(reportedMs, remaining(terminated + RESTART_VISIBLE_MS));
  }

  private long remaining(long untilMs) {
    return Math.max(0, untilMs - timers.nowMs());
  }
}
