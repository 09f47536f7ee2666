package io.mothrill.core.forward.warmup;

import io.mothrill.core.board.Section;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.WarmUpSigns;
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
 * Knows which upstreams warm up, from what they say and from their ends.
 *
 * <p>What an upstream says counts from when it was read, so its warm-up is taken to last longer by
 * the age of its word, never shorter. One that is seen for the first time and says nothing is taken
 * to have just started.
 *
 * <p>An upstream that refuses connections may start again under its name, so it is taken to be
 * warming up until the list must have shown the truth. The idle upstreams of a domain that is taken
 * back may have turned cold, so they are taken to warm up until they say otherwise.
 */
public final class WarmingUpstreams implements WarmUpSigns {

  /**
   * After an end the list shows a new start within a heartbeat and a read, or loses the upstream
   * after three silent heartbeats; this is longer than both.
   */
  private static final long RESTART_SHOWN_MS = 5_000;

  private final Function<String, Optional<WarmUpPlan>> plans;
  private final Timers timers;
  private volatile Map<String, Known> known = Map.of();
  private Set<String> evacuated;
  private final Map<String, Long> endedMs = new ConcurrentHashMap<>();

  /** An upstream as it was read last, and until when it warms up. */
  private record Known(ServingUpstream upstream, long untilMs) {

    Known warmingUntil(long laterMs) {
      return new Known(upstream, laterMs);
    }
  }

  /**
   * Begins to follow a list.
   *
   * @param list the registered upstreams
   * @param evacuatedDomains the failure domains that operators are emptying
   * @param plans what the upstreams of a service bear while they warm up; empty when nothing bounds
   *     it
   * @param timers the time
   */
  public WarmingUpstreams(
      Section<UpstreamList> list,
      Section<Set<String>> evacuatedDomains,
      Function<String, Optional<WarmUpPlan>> plans,
      Timers timers) {
    this.plans = plans;
    this.timers = timers;
    this.evacuated = evacuatedDomains.read();
    list.subscribe(this::follow);
    evacuatedDomains.subscribe(this::onEvacuations);
  }

  private synchronized void onEvacuations(Set<String> now) {
    Set<String> takenBack = new HashSet<>(evacuated);
    takenBack.removeAll(now);
    evacuated = now;
    Map<String, Known> next = new HashMap<>(known);
    next.replaceAll(
        (incarnation, found) ->
            takenBack.contains(found.upstream().domain())
                ? found.warmingUntil(idleUntil(found))
                : found);
    known = next;
  }

  private long idleUntil(Known found) {
    long durationMs = durationMs(found.upstream().service());
    return Math.max(found.untilMs(), timers.nowMs() + durationMs);
  }

  private synchronized void follow(UpstreamList list) {
    boolean first = known.isEmpty();
    Map<String, Known> next = new HashMap<>();
    list.all().forEach(upstream -> next.put(upstream.incarnation(), follow(upstream, first)));
    known = next;
    endedMs.keySet().retainAll(next.keySet());
  }

  private Known follow(ServingUpstream upstream, boolean first) {
    Known before = known.get(upstream.incarnation());
    if (before != null && before.upstream().equals(upstream)) {
      return before;
    }
    endedMs.remove(upstream.incarnation());
    OptionalLong saidMs = upstream.warmUpLeftMs();
    long leftMs =
        saidMs.orElseGet(() -> before != null || first ? 0 : durationMs(upstream.service()));
    boolean begins = leftMs > 0 && (before == null || before.untilMs() <= timers.nowMs());
    if (begins) {
      Logger.info("upstream warms up upstream={} leftMs={}", upstream.incarnation(), leftMs);
    }
    return new Known(upstream, timers.nowMs() + leftMs);
  }

  private long durationMs(String service) {
    return plans.apply(service).map(WarmUpPlan::durationMs).orElse(0L);
  }

  @Override
  public void onSaid(ServingUpstream upstream, long leftMs) {
    if (leftMs > 0 || isWarming(upstream)) {
      takeSaid(upstream, leftMs);
    }
  }

  private synchronized void takeSaid(ServingUpstream upstream, long leftMs) {
    Known before = known.get(upstream.incarnation());
    if (before == null) {
      return;
    }
    Map<String, Known> next = new HashMap<>(known);
    next.put(upstream.incarnation(), new Known(before.upstream(), timers.nowMs() + leftMs));
    known = next;
    endedMs.remove(upstream.incarnation());
  }

  @Override
  public void onEnded(ServingUpstream upstream) {
    if (known.containsKey(upstream.incarnation())) {
      endedMs.put(upstream.incarnation(), timers.nowMs());
    }
  }

  /**
   * Says whether an upstream warms up.
   *
   * @param upstream the upstream
   * @return true when it does, or may do after an end
   */
  public boolean isWarming(ServingUpstream upstream) {
    return leftMs(upstream) > 0;
  }

  /**
   * Counts the upstreams that warm up.
   *
   * @return a count
   */
  public long warmingCount() {
    return known.values().stream().map(Known::upstream).filter(this::isWarming).count();
  }

  /**
   * Says how much longer an upstream warms up.
   *
   * @param upstream the upstream
   * @return milliseconds; 0 when it is warm
   */
  public long leftMs(ServingUpstream upstream) {
    Known found = known.get(upstream.incarnation());
    long saidMs = found == null ? durationMs(upstream.service()) : left(found.untilMs());
    Long ended = endedMs.get(upstream.incarnation());
    return ended == null ? saidMs : Math.max(saidMs, left(ended + RESTART_SHOWN_MS));
  }

  private long left(long untilMs) {
    return Math.max(0, untilMs - timers.nowMs());
  }
}
