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
 * Distributes the rate limits of upstreams between instances.
 *
 * <p>No message is fast and reliable enough to split a limit between instances that may be
 * partitioned from each other. Therefore only a few instances, mostly one, send to an upstream with
 * a limit: the first ones by rendezvous hashing, which all instances compute alike, with instances
 * in the upstream's own failure domain before the others. All others send nothing. Together the
 * senders use only a part of the limit, because instances with different views of the fleet may for
 * some seconds each consider themselves first. An instance that is partitioned or has just started
 * does not know the fleet and sends nothing.
 *
 * <p>A limit that is large compared with the fleet is split equally between all instances,
 * including partitioned ones.
 *
 * <p>Upstreams announce limits only in answers. An upstream that has not been heard of for long
 * therefore gets a single probe request, from one instance after the other, until one gets an
 * answer.
 *
 * <pre>{@code
 * if (permits.hasPermit(upstream) && permits.tryAcquire(upstream)) {
 *   write(request, upstream);
 * }
 * }</pre>
 */
public final class SendPermits {

  /**
   * Number of views of the fleet by which instances may send at the same time: before and after a
   * change, each with an instance whose registration has expired and its successor.
   */
  private static final int CONCURRENT_VIEWS = 4;

  /**
   * A successor that delays its takeover leaves only the instance that does not know yet that its
   * registration has expired.
   */
  private static final int CONCURRENT_VIEWS_AFTER_DELAY = 2;

  /**
   * Minimum number of requests per window and instance for splitting a limit equally. Such a limit
   * needs no ranking of the instances and holds as long as instances know half of the fleet.
   */
  private static final int MIN_EQUAL_SHARE = 8;

  /** With a smaller share an instance would often have no permit when its callers need one. */
  private static final int MIN_SHARE = 4;

  /** An upstream not heard of for this time is probed for whether its limit still applies. */
  private static final long PROBE_AFTER_MS = 10_000;

  /** Longer than an answer and the reports about it take to arrive. */
  private static final long PROBE_STEP_MS = 2_000;

  /** Sent requests still count if the entry of an upstream expires and returns within this time. */
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
   * @param limits the rate limits of upstreams
   * @param timers the clock
   */
  public SendPermits(InstanceRecord self, FleetView fleet, RateLimits limits, Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.fleetSize = new FleetSize(fleet, timers);
    this.limits = limits;
    this.timers = timers;
  }

  /**
   * Checks whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @return true if it has no limit, or this instance has quota left
   */
  public boolean hasPermit(RegisteredUpstream upstream) {
    return findLimit(upstream)
        .map(limit -> windowOf(upstream).hasCapacity(quotaOf(upstream, limit)))
        .orElse(true);
  }

  /**
   * Acquires a permit for a request that is written next.
   *
   * @param upstream the upstream
   * @return false if there is none
   */
  public boolean tryAcquire(RegisteredUpstream upstream) {
    return findLimit(upstream)
        .map(limit -> windowOf(upstream).tryAcquire(quotaOf(upstream, limit)))
        .orElse(true);
  }

  /**
   * Returns the time after which there may be a permit.
   *
   * @param upstream an upstream with a limit
   * @return milliseconds from now
   */
  public long retryAfterMs(RegisteredUpstream upstream) {
    return limits.retryAfterMs(upstream);
  }

  /**
   * Removes the state of upstreams that are no longer registered.
   *
   * @param list the registered upstreams
   */
  public void retain(UpstreamList list) {
    windows
        .entrySet()
        .removeIf(
            entry ->
                !list.containsIncarnation(entry.getKey()) && entry.getValue().isIdle(RETENTION_MS));
  }

  private Optional<RateLimit> findLimit(RegisteredUpstream upstream) {
    Optional<RateLimit> limit = limits.find(upstream);
    if (limit.isEmpty()) {
      windows.remove(upstream.incarnation());
    }
    return limit;
  }

  private Quota quotaOf(RegisteredUpstream upstream, RateLimit limit) {
    int equalShare = equalShare(limit);
    if (equalShare >= MIN_EQUAL_SHARE) {
      return new Quota(equalShare, limit.windowMs(), 0, Long.MAX_VALUE);
    }
    return new Quota(
        fleet.isCurrent() ? share(upstream, limit) : 0,
        limit.windowMs(),
        limit.takeoverDelayMs(),
        limit.ageMs() < PROBE_AFTER_MS ? Long.MAX_VALUE : probeAfterMs(upstream, limit));
  }

  /** Limits without a takeover delay are only split between ranked senders. */
  private int equalShare(RateLimit limit) {
    OptionalInt count = fleetSize.count();
    return limit.takeoverDelayMs() == 0 || count.isEmpty()
        ? 0
        : limit.maxRequests() / CONCURRENT_VIEWS_AFTER_DELAY / count.getAsInt();
  }

  private int share(RegisteredUpstream upstream, RateLimit limit) {
    int fleetQuota = fleetQuota(limit);
    int senders = Math.max(1, Math.min(fleet.others().size() + 1, fleetQuota / MIN_SHARE));
    int rank = rank(upstream, senders);
    if (rank >= senders) {
      return 0;
    }
    return fleetQuota / senders + (rank < fleetQuota % senders ? 1 : 0);
  }

  /**
   * Instances probe one after the other, so that the first answer makes further probes unnecessary.
   */
  private long probeAfterMs(RegisteredUpstream upstream, RateLimit limit) {
    long afterMs = PROBE_AFTER_MS + PROBE_STEP_MS * rank(upstream, Integer.MAX_VALUE);
    return limit.ageMs() < afterMs ? Long.MAX_VALUE : afterMs;
  }

  /** A limit below the number of views still allows one request per window. */
  private static int fleetQuota(RateLimit limit) {
    int views = limit.takeoverDelayMs() > 0 ? CONCURRENT_VIEWS_AFTER_DELAY : CONCURRENT_VIEWS;
    return limit.maxRequests() < views
        ? Math.min(1, limit.maxRequests())
        : limit.maxRequests() / views;
  }

  /**
   * Returns the number of instances ranked before this one, capped at a sufficient number.
   * Instances in the upstream's own failure domain come first, because a partition leaves them
   * connected to it.
   */
  private int rank(RegisteredUpstream upstream, int max) {
    Map<Boolean, List<InstanceRecord>> bySameDomain =
        fleet.others().stream()
            .collect(Collectors.partitioningBy(other -> other.domain().equals(upstream.domain())));
    List<InstanceRecord> sameDomain = bySameDomain.get(true);
    if (self.domain().equals(upstream.domain())) {
      return RendezvousHash.rankOf(upstream.incarnation(), self, sameDomain);
    }
    return sameDomain.size() >= max
        ? max
        : sameDomain.size()
            + RendezvousHash.rankOf(upstream.incarnation(), self, bySameDomain.get(false));
  }

  private Window windowOf(RegisteredUpstream upstream) {
    return windows.computeIfAbsent(upstream.incarnation(), unused -> new Window());
  }

  /**
   * The part of a rate limit that this instance may use.
   *
   * @param maxRequests the maximum number of requests in any window
   * @param windowMs the length of the window
   * @param takeoverDelayMs how long this instance waits after it got a quota that it did not have
   * @param probeAfterMs the time after the previous request at which one request may be sent anyway
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

    synchronized boolean hasCapacity(Quota quota) {
      long nowMs = timers.nowMs();
      while (!sentMs.isEmpty() && nowMs - sentMs.peekFirst() > quota.windowMs()) {
        sentMs.pollFirst();
      }
      return isDelayOver(quota, nowMs) && sentMs.size() < quota.maxRequests()
          || nowMs - lastSentMs >= quota.probeAfterMs();
    }

    private boolean isDelayOver(Quota quota, long nowMs) {
      boolean isDelayed = quota.maxRequests() > 0 && quota.takeoverDelayMs() > 0;
      senderSinceMs = isDelayed ? Math.min(senderSinceMs, nowMs) : Long.MAX_VALUE / 2;
      return !isDelayed || nowMs - senderSinceMs >= quota.takeoverDelayMs();
    }

    synchronized boolean tryAcquire(Quota quota) {
      if (!hasCapacity(quota)) {
        return false;
      }
      lastSentMs = timers.nowMs();
      sentMs.addLast(lastSentMs);
      return true;
    }
  }
}
