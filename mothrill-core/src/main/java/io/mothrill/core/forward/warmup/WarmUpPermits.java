package io.mothrill.core.forward.warmup;

import io.mothrill.core.forward.plan.WarmUpPlan;
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
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Shares out what upstreams bear while they warm up.
 *
 * <p>Upstreams that have just started are the least loaded to every instance, and no message is
 * fast and sure enough to share out what they bear between instances that may be cut off from each
 * other. So of all instances one sends to an upstream that warms up: the first in an order that all
 * work out alike. The others leave it alone. It sends a quarter of what is allowed in any second,
 * as instances that see different fleets may for some seconds take several for the first: one that
 * has lapsed and its successor, and each of both before and after a change. An instance that is cut
 * off, or has just started, does not know the fleet and sends nothing.
 */
public final class WarmUpPermits {

  /** Instances that may take themselves for the first at the same time. */
  private static final int SENDERS = 4;

  /** In any span of this length an upstream gets no more than is allowed. */
  private static final long WINDOW_MS = 1_000;

  /** Callers that are refused for lack of a permit find one after this time at the latest. */
  private static final long MAX_RETRY_MS = 1_000;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final WarmingUpstreams warming;
  private final Function<String, Optional<WarmUpPlan>> plans;
  private final WarmUpBounds bounds;
  private final Timers timers;
  private final Map<String, Window> windows = new ConcurrentHashMap<>();

  /**
   * Creates the permits.
   *
   * @param self this instance
   * @param fleet the other instances
   * @param warming which upstreams warm up
   * @param plans what the upstreams of a service bear meanwhile; empty when nothing bounds it
   * @param bounds how far that may be exceeded
   * @param timers the time
   */
  public WarmUpPermits(
      InstanceRecord self,
      FleetView fleet,
      WarmingUpstreams warming,
      Function<String, Optional<WarmUpPlan>> plans,
      WarmUpBounds bounds,
      Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.warming = warming;
    this.plans = plans;
    this.bounds = bounds;
    this.timers = timers;
  }

  /**
   * Says whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @return true when it is warm, or this instance may send to it and has not sent too much
   */
  public boolean hasPermit(ServingUpstream upstream) {
    Optional<WarmUpPlan> plan = bounding(upstream);
    return plan.isEmpty()
        || isSender(upstream) && windowOf(upstream).hasRoom(share(plan.get()), timers.nowMs());
  }

  /**
   * Takes a permit for a request that is written next.
   *
   * @param upstream the upstream
   * @return false when there is none
   */
  public boolean tryTake(ServingUpstream upstream) {
    Optional<WarmUpPlan> plan = bounding(upstream);
    return plan.isEmpty()
        || isSender(upstream) && windowOf(upstream).tryTake(share(plan.get()), timers.nowMs());
  }

  /**
   * Says when there may be a permit.
   *
   * @param upstream an upstream that warms up
   * @return milliseconds from now
   */
  public long retryAfterMs(ServingUpstream upstream) {
    return Math.min(MAX_RETRY_MS, warming.leftMs(upstream));
  }

  /**
   * Forgets what was sent to upstreams that have gone.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    windows.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }

  private Optional<WarmUpPlan> bounding(ServingUpstream upstream) {
    Optional<WarmUpPlan> plan = plans.apply(upstream.service());
    if (plan.isEmpty() || !warming.isWarming(upstream)) {
      windows.remove(upstream.incarnation());
      return Optional.empty();
    }
    return plan;
  }

  /** A bound below the number of senders still lets one request through in a second. */
  private int share(WarmUpPlan plan) {
    int most = bounds.mostInAnySecond(plan);
    return most < SENDERS ? Math.min(1, most) : most / SENDERS;
  }

  /** The first among the instances of the upstream's own domain, which a cut leaves it with. */
  private boolean isSender(ServingUpstream upstream) {
    if (!fleet.isCurrent()) {
      return false;
    }
    List<InstanceRecord> all = Stream.concat(fleet.others().stream(), Stream.of(self)).toList();
    List<InstanceRecord> near =
        all.stream().filter(instance -> instance.domain().equals(upstream.domain())).toList();
    return Rendezvous.rank(upstream.incarnation(), near.isEmpty() ? all : near)
        .get(0)
        .id()
        .equals(self.id());
  }

  private Window windowOf(ServingUpstream upstream) {
    return windows.computeIfAbsent(upstream.incarnation(), unused -> new Window());
  }

  /** The times of the last requests to one upstream. */
  private static final class Window {
    private final Deque<Long> sentMs = new ArrayDeque<>();

    synchronized boolean hasRoom(int share, long nowMs) {
      while (!sentMs.isEmpty() && nowMs - sentMs.peekFirst() > WINDOW_MS) {
        sentMs.pollFirst();
      }
      return sentMs.size() < share;
    }

    synchronized boolean tryTake(int share, long nowMs) {
      if (!hasRoom(share, nowMs)) {
        return false;
      }
      sentMs.addLast(nowMs);
      return true;
    }
  }
}
