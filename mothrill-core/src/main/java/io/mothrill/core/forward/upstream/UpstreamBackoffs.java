package io.mothrill.core.forward.upstream;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Knows which upstreams have asked this instance to send them nothing for a time.
 *
 * <p>An upstream asks each instance for itself, so the others are not told.
 */
public final class UpstreamBackoffs {

  private final Timers timers;
  private final Map<String, Long> untilMs = new ConcurrentHashMap<>();
  private final AtomicLong sentCount = new AtomicLong();

  /**
   * Creates the record; no upstream rests at first.
   *
   * @param timers the time
   */
  public UpstreamBackoffs(Timers timers) {
    this.timers = timers;
  }

  /**
   * Notes that an upstream wants nothing for a time. A longer time that it has asked for before
   * stands.
   *
   * @param upstream the upstream
   * @param restMs how long
   */
  public void onBackoffRequested(RegisteredUpstream upstream, long restMs) {
    boolean rests = isBackingOff(upstream);
    untilMs.merge(upstream.incarnation(), timers.nowMs() + restMs, Math::max);
    if (!rests) {
      Logger.info("upstream asks for rest upstream={} restMs={}", upstream.incarnation(), restMs);
    }
  }

  /**
   * Says whether an upstream rests.
   *
   * @param upstream the upstream
   * @return true when it is to get nothing now
   */
  public boolean isBackingOff(RegisteredUpstream upstream) {
    return remainingMs(upstream) > 0;
  }

  /**
   * Says how much longer an upstream rests.
   *
   * @param upstream the upstream
   * @return milliseconds; 0 when it does not
   */
  public long remainingMs(RegisteredUpstream upstream) {
    Long until = untilMs.get(upstream.incarnation());
    return until == null ? 0 : Math.max(0, until - timers.nowMs());
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    if (isBackingOff(upstream)) {
      sentCount.incrementAndGet();
    }
  }

  /**
   * Counts the upstreams that rest.
   *
   * @return a count
   */
  public long backoffCount() {
    long nowMs = timers.nowMs();
    return untilMs.values().stream().filter(until -> until > nowMs).count();
  }

  /**
   * Counts what upstreams got from here while they rested.
   *
   * @return requests since the start
   */
  public long sentCount() {
    return sentCount.get();
  }

  /**
   * Forgets rests that are over, and those of processes that have been followed by others.
   *
   * @param list the upstreams that are there
   */
  public void retain(UpstreamList list) {
    long nowMs = timers.nowMs();
    untilMs.entrySet().removeIf(rest -> rest.getValue() <= nowMs || list.isReplaced(rest.getKey()));
  }
}
