package io.mothrill.core.forward.permit;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Shares out what upstreams take from all instances together.
 *
 * <p>No message is fast and sure enough to share that out between instances that may be cut off
 * from each other. So of all instances a few send to an upstream that is bounded, mostly one: the
 * first in an order that all work out alike, those of its own domain before the others. All others
 * leave it alone. Together they send a part of what is allowed, as instances that see different
 * fleets may for some seconds take several for the first. An instance that is cut off, or has just
 * started, does not know the fleet and sends nothing.
 *
 * <p>A bound that is large beside the fleet is shared by all instances alike, also by those that
 * are cut off.
 *
 * <p>Upstreams say that they are bounded in answers only. So one that nobody has heard of for long
 * is sent a single request, by one instance after the other, until somebody has heard.
 *
 * <pre>{@code
 * if (permits.hasPermit(upstream) && permits.tryTake(upstream)) {
 *   write(request, upstream);
 * }
 * }</pre>
 */
public final class SendPermits {

  /**
   * Views of the fleet by which instances may send at the same time: before and after a change,
   * each of one that has lapsed and its successor.
   */
  private static final int CONCURRENT_VIEWS = 4;

  /** A successor that waits leaves only one that does not know yet that it has lapsed. */
  private static final int CONCURRENT_VIEWS_AFTER_DELAY = 2;

  /**
   * Requests in a window for each instance with which all of them share a bound alike: so large a
   * bound needs no order, and holds as long as instances know half of the fleet.
   */
  private static final int MIN_EQUAL_SHARE = 8;

  /** With less, an instance would often have no permit when its callers need one. */
  private static final int MIN_SHARE = 4;

  /** An upstream of which nothing was heard for so long is asked whether it is still bounded. */
  private static final long PROBE_AFTER_MS = 10_000;

  /** Longer than an answer takes, and the way of its news. */
  private static final long PROBE_STEP_MS = 2_000;

  /** What was sent counts on when the entry of an upstream lapses and is back. */
  private static final long RETENTION_MS = 60_000;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final FleetSize fleetSize;
  private final RateLimits limits;
  private final Timers timers;
  private final Map<String, Window> windows = new ConcurrentHashMap<>();

  /**
   * Creates the permits.
   *
   * @param self this instance
   * @param fleet the other instances
   * @param allowances which upstreams are bounded, and how much each takes
   * @param timers the time
   */
  public SendPermits(InstanceRecord self, FleetView fleet, RateLimits allowances, Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.fleetSize = new FleetSize(fleet, timers);
    this.limits = allowances;
    this.timers = timers;
  }

  /**
   * Says whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @return true when it is not bounded, or this instance may send to it and has not sent too much
   */
  public boolean hasPermit(RegisteredUpstream upstream) {
    return findLimit(upstream)
        .map(bound -> windowOf(upstream).hasCapacity(quotaOf(upstream, bound)))
        .orElse(true);
  }

  /**
   * Takes a permit for a request that is written next.
   *
   * @param upstream the upstream
   * @return false when there is none
   */
  public boolean tryAcquire(RegisteredUpstream upstream) {
    return findLimit(upstream)
        .map(bound -> windowOf(upstream).tryAcquire(quotaOf(upstream, bound)))
        .orElse(true);
  }

  /**
   * Says when there may be a permit.
   *
   * @param upstream an upstream that is bounded
   * @return milliseconds from now
   */
  public long retryAfterMs(RegisteredUpstream upstream) {
    return limits.retryAfterMs(upstream);
  }

  /**
   * Forgets what was sent to upstreams that have gone.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    windows
        .entrySet()
        .removeIf(
            entry ->
                !list.containsIncarnation(entry.getKey()) && entry.getValue().isIdle(RETENTION_MS));
  }

  private Optional<RateLimit> findLimit(RegisteredUpstream upstream) {
    Optional<RateLimit> bound = limits.find(upstream);
    if (bound.isEmpty()) {
      windows.remove(upstream.incarnation());
    }
    return bound;
  }

  private Quota quotaOf(RegisteredUpstream upstream, RateLimit bound) {
    int equalShare = equalShare(bound);
    if (equalShare >= MIN_EQUAL_SHARE) {
      return new Quota(equalShare, bound.windowMs(), 0, Long.MAX_VALUE);
    }
    return new Quota(
        fleet.isCurrent() ? share(upstream, bound) : 0,
        bound.windowMs(),
        bound.takeoverDelayMs(),
        bound.ageMs() < PROBE_AFTER_MS ? Long.MAX_VALUE : probeAfterMs(upstream, bound));
  }

  /** Sources whose senders need not wait are shared by order alone. */
  private int equalShare(RateLimit bound) {
    OptionalInt count = fleetSize.count();
    return bound.takeoverDelayMs() == 0 || count.isEmpty()
        ? 0
        : bound.maxRequests() / CONCURRENT_VIEWS_AFTER_DELAY / count.getAsInt();
  }

  private int share(RegisteredUpstream upstream, RateLimit bound) {
    int quota = fleetQuota(bound);
    int senders = Math.max(1, Math.min(fleet.others().size() + 1, quota / MIN_SHARE));
    int place = rank(upstream, senders);
    if (place >= senders) {
      return 0;
    }
    return quota / senders + (place < quota % senders ? 1 : 0);
  }

  /** Instances ask one after the other, so that the first answer spares the others the question. */
  private long probeAfterMs(RegisteredUpstream upstream, RateLimit bound) {
    long afterMs = PROBE_AFTER_MS + PROBE_STEP_MS * rank(upstream, Integer.MAX_VALUE);
    return bound.ageMs() < afterMs ? Long.MAX_VALUE : afterMs;
  }

  /** A bound below the number of views still lets one request through in a window. */
  private static int fleetQuota(RateLimit bound) {
    int views = bound.takeoverDelayMs() > 0 ? CONCURRENT_VIEWS_AFTER_DELAY : CONCURRENT_VIEWS;
    return bound.maxRequests() < views
        ? Math.min(1, bound.maxRequests())
        : bound.maxRequests() / views;
  }

  /**
   * Counts the instances that come before this one, up to a number that is enough to know. Those of
   * the upstream's own domain come first, as a cut leaves it with those.
   */
  private int rank(RegisteredUpstream upstream, int most) {
    Map<Boolean, List<InstanceRecord>> byNearness =
        fleet.others().stream()
            .collect(Collectors.partitioningBy(other -> other.domain().equals(upstream.domain())));
    List<InstanceRecord> near = byNearness.get(true);
    if (self.domain().equals(upstream.domain())) {
      return RendezvousHash.rankOf(upstream.incarnation(), self, near);
    }
    return near.size() >= most
        ? most
        : near.size() + RendezvousHash.rankOf(upstream.incarnation(), self, byNearness.get(false));
  }

  private Window windowOf(RegisteredUpstream upstream) {
    return windows.computeIfAbsent(upstream.incarnation(), unused -> new Window());
  }

  /**
   * What this instance may send.
   *
   * @param maxRequests requests in any span of the window's length
   * @param windowMs the window
   * @param takeoverDelayMs how long it waits when there is such a part that was not there before
   * @param probeAfterMs one request may be sent when the one before is so long ago
   */
  private record Quota(int maxRequests, long windowMs, long takeoverDelayMs, long probeAfterMs) {}

  /** The times of the last requests to one upstream. */
  private final class Window {
    private final Deque<Long> sentMs = new ArrayDeque<>();
    private long lastSentMs = Long.MIN_VALUE / 2;
    private long senderSinceMs = Long.MAX_VALUE / 2;

    synchronized boolean isIdle(long forMs) {
      return timers.nowMs() - lastSentMs > forMs;
    }

    synchronized boolean hasCapacity(Quota part) {
      long nowMs = timers.nowMs();
      while (!sentMs.isEmpty() && nowMs - sentMs.peekFirst() > part.windowMs()) {
        sentMs.pollFirst();
      }
      return isDelayOver(part, nowMs) && sentMs.size() < part.maxRequests()
          || nowMs - lastSentMs >= part.probeAfterMs();
    }

    private boolean isDelayOver(Quota part, long nowMs) {
      boolean waits = part.maxRequests() > 0 && part.takeoverDelayMs() > 0;
      senderSinceMs = waits ? Math.min(senderSinceMs, nowMs) : Long.MAX_VALUE / 2;
      return !waits || nowMs - senderSinceMs >= part.takeoverDelayMs();
    }

    synchronized boolean tryAcquire(Quota part) {
      if (!hasCapacity(part)) {
        return false;
      }
      lastSentMs = timers.nowMs();
      sentMs.addLast(lastSentMs);
      return true;
    }
  }
}
