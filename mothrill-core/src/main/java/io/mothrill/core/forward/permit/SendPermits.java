package io.mothrill.core.forward.permit;

import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.peer.Rendezvous;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Shares out what upstreams take from all instances together.
 *
 * <p>No message is fast and sure enough to share that out between instances that may be cut off
 * from each other. So of all instances a few send to an upstream that is bounded, mostly one: the
 * first in an order that all work out alike, those of its own domain before the others. All others
 * leave it alone. Together they send a quarter of what is allowed, as instances that see different
 * fleets may for some seconds take several for the first: one that has lapsed and its successor,
 * and each of both before and after a change. An instance that is cut off, or has just started,
 * does not know the fleet and sends nothing.
 *
 * <pre>{@code
 * if (permits.hasPermit(upstream) && permits.tryTake(upstream)) {
 *   write(request, upstream);
 * }
 * }</pre>
 */
public final class SendPermits {

  /** Views of the fleet by which instances may send at the same time. */
  private static final int VIEWS = 4;

  /** With less, an instance would often have no permit when its callers need one. */
  private static final int LEAST_SHARE = 4;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final Allowances allowances;
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
  public SendPermits(InstanceRecord self, FleetView fleet, Allowances allowances, Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.allowances = allowances;
    this.timers = timers;
  }

  /**
   * Says whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @return true when it is not bounded, or this instance may send to it and has not sent too much
   */
  public boolean hasPermit(ServingUpstream upstream) {
    return bounding(upstream)
        .map(bound -> windowOf(upstream).hasRoom(share(upstream, bound), bound.windowMs()))
        .orElse(true);
  }

  /**
   * Takes a permit for a request that is written next.
   *
   * @param upstream the upstream
   * @return false when there is none
   */
  public boolean tryTake(ServingUpstream upstream) {
    return bounding(upstream)
        .map(bound -> windowOf(upstream).tryTake(share(upstream, bound), bound.windowMs()))
        .orElse(true);
  }

  /**
   * Says when there may be a permit.
   *
   * @param upstream an upstream that is bounded
   * @return milliseconds from now
   */
  public long retryAfterMs(ServingUpstream upstream) {
    return allowances.retryAfterMs(upstream);
  }

  /**
   * Forgets what was sent to upstreams that have gone.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    windows.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }

  private Optional<Allowance> bounding(ServingUpstream upstream) {
    Optional<Allowance> bound = allowances.of(upstream);
    if (bound.isEmpty()) {
      windows.remove(upstream.incarnation());
    }
    return bound;
  }

  private int share(ServingUpstream upstream, Allowance bound) {
    if (!fleet.isCurrent()) {
      return 0;
    }
    List<InstanceRecord> others = fleet.others();
    int quota = quota(bound);
    int senders = Math.max(1, Math.min(others.size() + 1, quota / LEAST_SHARE));
    int place = place(upstream, others, senders);
    if (place >= senders) {
      return 0;
    }
    return quota / senders + (place < quota % senders ? 1 : 0);
  }

  /** A bound below the number of views still lets one request through in a window. */
  private static int quota(Allowance bound) {
    return bound.most() < VIEWS ? Math.min(1, bound.most()) : bound.most() / VIEWS;
  }

  /** The instances of the upstream's own domain come first, as a cut leaves it with those. */
  private int place(ServingUpstream upstream, List<InstanceRecord> others, int senders) {
    Map<Boolean, List<InstanceRecord>> byNearness =
        others.stream()
            .collect(Collectors.partitioningBy(other -> other.domain().equals(upstream.domain())));
    List<InstanceRecord> near = byNearness.get(true);
    if (self.domain().equals(upstream.domain())) {
      return Rendezvous.place(upstream.incarnation(), self, near);
    }
    return near.size() >= senders
        ? senders
        : near.size() + Rendezvous.place(upstream.incarnation(), self, byNearness.get(false));
  }

  private Window windowOf(ServingUpstream upstream) {
    return windows.computeIfAbsent(upstream.incarnation(), unused -> new Window());
  }

  /** The times of the last requests to one upstream. */
  private final class Window {
    private final Deque<Long> sentMs = new ArrayDeque<>();

    synchronized boolean hasRoom(int share, long windowMs) {
      long nowMs = timers.nowMs();
      while (!sentMs.isEmpty() && nowMs - sentMs.peekFirst() > windowMs) {
        sentMs.pollFirst();
      }
      return sentMs.size() < share;
    }

    synchronized boolean tryTake(int share, long windowMs) {
      if (!hasRoom(share, windowMs)) {
        return false;
      }
      sentMs.addLast(timers.nowMs());
      return true;
    }
  }
}
