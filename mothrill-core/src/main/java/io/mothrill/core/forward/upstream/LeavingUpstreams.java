package io.mothrill.core.forward.upstream;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Tracks the upstreams that have announced in an answer, to this instance or another one, that they
 * are leaving.
 *
 * <p>An announcement is newer than the list, which is read from a store that may be unreachable. A
 * process that is leaving never accepts requests again.
 */
public final class LeavingUpstreams {

  /**
   * An entry of the upstream list can expire while the store is unreachable and return unchanged,
   * so announcements are retained for longer than such an outage.
   */
  private static final long RETENTION_MS = 600_000;

  private final Timers timers;
  private final Map<String, Announcement> announcements = new ConcurrentHashMap<>();

  /** The time of the announcement and the number of requests sent since. */
  private record Announcement(long announcedMs, AtomicLong sentCount) {}

  /**
   * Creates the tracker; no upstream is leaving initially.
   *
   * @param timers the clock
   */
  public LeavingUpstreams(Timers timers) {
    this.timers = timers;
  }

  /**
   * Records that an upstream is leaving.
   *
   * @param upstream the upstream
   */
  public void markLeaving(RegisteredUpstream upstream) {
    Announcement announcement = new Announcement(timers.nowMs(), new AtomicLong());
    if (announcements.putIfAbsent(upstream.incarnation(), announcement) == null) {
      Logger.info("upstream announces that it is leaving upstream={}", upstream.incarnation());
    }
  }

  /**
   * Checks whether an upstream is leaving.
   *
   * @param upstream the upstream
   * @return true if it has announced that it is leaving
   */
  public boolean isLeaving(RegisteredUpstream upstream) {
    return announcements.containsKey(upstream.incarnation());
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    Announcement announcement = announcements.get(upstream.incarnation());
    if (announcement != null) {
      announcement.sentCount().incrementAndGet();
    }
  }

  /**
   * Returns the number of upstreams that have recently announced that they are leaving.
   *
   * @return the number of upstreams
   */
  public int leavingCount() {
    return announcements.size();
  }

  /**
   * Returns the number of requests that this instance has sent to these upstreams since.
   *
   * @return the number of requests
   */
  public long sentCount() {
    return announcements.values().stream()
        .mapToLong(announcement -> announcement.sentCount().get())
        .sum();
  }

  /**
   * Removes upstreams that are no longer registered, after the retention time.
   *
   * @param list the registered upstreams
   */
  public void retain(UpstreamList list) {
    long nowMs = timers.nowMs();
    announcements
        .entrySet()
        .removeIf(
            entry ->
                !list.containsIncarnation(entry.getKey())
                    && nowMs - entry.getValue().announcedMs() > RETENTION_MS);
  }
}
