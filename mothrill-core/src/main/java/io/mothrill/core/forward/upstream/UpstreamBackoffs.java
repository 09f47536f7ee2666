package io.mothrill.core.forward.upstream;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Tracks the upstreams that have requested a backoff from this instance.
 *
 * <p>An upstream requests a backoff from each instance separately, so it is not broadcast.
 */
public final class UpstreamBackoffs {

  private final Timers timers;
  private final Map<String, Long> untilMs = new ConcurrentHashMap<>();
  private final AtomicLong sentCount = new AtomicLong();

  /**
   * Creates the tracker; initially no upstream has requested a backoff.
   *
   * @param timers the clock
   */
  public UpstreamBackoffs(Timers timers) {
    this.timers = timers;
  }

  /**
   * Called when an upstream has requested a backoff. A longer backoff requested before stays in
   * effect.
   *
   * @param upstream the upstream
   * @param backoffMs the length of the backoff
   */
  public void onBackoffRequested(RegisteredUpstream upstream, long backoffMs) {
    boolean wasBackingOff = isBackingOff(upstream);
    untilMs.merge(upstream.incarnation(), timers.nowMs() + backoffMs, Math::max);
    if (!wasBackingOff) {
      Logger.info(
          "upstream requests backoff upstream={} restMs={}", upstream.incarnation(), backoffMs);
    }
  }

  /**
   * Checks whether a backoff is in effect for an upstream.
   *
   * @param upstream the upstream
   * @return true if it must not get requests now
   */
  public boolean isBackingOff(RegisteredUpstream upstream) {
    return remainingMs(upstream) > 0;
  }

  /**
   * Returns the remaining backoff of an upstream.
   *
   * @param upstream the upstream
   * @return milliseconds; 0 if no backoff is in effect
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
   * Returns the number of upstreams with a backoff in effect.
   *
   * @return the number of upstreams
   */
  public long backoffCount() {
    long nowMs = timers.nowMs();
    return untilMs.values().stream().filter(until -> until > nowMs).count();
  }

  /**
   * Returns the number of requests that this instance has sent to upstreams during their backoffs.
   *
   * @return the number of requests since the start
   */
  public long sentCount() {
    return sentCount.get();
  }

  /**
   * Removes expired backoffs and those of processes that have been replaced.
   *
   * @param list the registered upstreams
   */
  public void retain(UpstreamList list) {
    long nowMs = timers.nowMs();
    untilMs
        .entrySet()
        .removeIf(entry -> entry.getValue() <= nowMs || list.isReplaced(entry.getKey()));
  }
}
