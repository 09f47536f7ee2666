package io.mothrill.core.forward.limit;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Bounds how many requests brittle upstreams have to turn away.
 *
 * <p>Such an upstream announces how many requests per second it can turn away for want of room; one
 * more and it falls over. Each instance may cause its share of them. A request that was just sent
 * counts as well until it is answered or has most likely been admitted, because its rejection may
 * be on the way.
 */
public final class RejectionBudgets {

  /** A second at the upstream, and the variation of the network delay. */
  private static final long WINDOW_MS = 1_150;

  /** A rejection is sent at once, so a request without one for this time was admitted. */
  private static final long UNCERTAIN_MS = 100;

  private static final long MIN_RETRY_MS = 250;

  private static final long SHARE_INTERVAL_MS = 500;

  /**
   * The share of an instance that would have none at any upstream of a service: it sends single
   * requests while an upstream is sparsely occupied.
   */
  private static final int LAST_RESORT = -1;

  private static final double MAX_SPARSE_OCCUPANCY = 0.5;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final Timers timers;
  private final Map<String, Budget> budgets = new ConcurrentHashMap<>();
  private final AtomicLong rejectionCount = new AtomicLong();

  /**
   * Creates the budgets; initially no upstream is brittle.
   *
   * @param self this instance
   * @param fleet the other instances
   * @param list the registered upstreams
   * @param loads their loads
   * @param timers the clock
   */
  public RejectionBudgets(
      InstanceRecord self,
      FleetView fleet,
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.list = list;
    this.loads = loads;
    this.timers = timers;
    list.subscribe(
        newest ->
            budgets.keySet().removeIf(incarnation -> !newest.containsIncarnation(incarnation)));
  }

  /** The recent requests and rejections at one brittle upstream. */
  private static final class Budget {
    private final Deque<Long> rejectedMs = new ArrayDeque<>();
    private final Deque<Long> uncertainSinceMs = new ArrayDeque<>();
    private volatile int maxPerS;
    private volatile long announcedMs;
    private volatile int share;
    private volatile long shareMs = Long.MIN_VALUE / 2;

    private synchronized int usedAt(long nowMs) {
      while (!rejectedMs.isEmpty() && nowMs - rejectedMs.peekFirst() >= WINDOW_MS) {
        rejectedMs.pollFirst();
      }
      while (!uncertainSinceMs.isEmpty() && nowMs - uncertainSinceMs.peekFirst() >= UNCERTAIN_MS) {
        uncertainSinceMs.pollFirst();
      }
      return rejectedMs.size() + uncertainSinceMs.size();
    }

    private synchronized boolean tryAcquire(int max, long nowMs) {
      if (usedAt(nowMs) >= max) {
        return false;
      }
      uncertainSinceMs.addLast(nowMs);
      return true;
    }

    private synchronized void onAnswer(long sentMs, boolean turnedAway, long nowMs) {
      uncertainSinceMs.removeFirstOccurrence(sentMs);
      if (turnedAway) {
        rejectedMs.addLast(nowMs);
      }
    }

    private synchronized long retryAfterMs(long nowMs) {
      Long oldest = rejectedMs.peekFirst();
      return oldest == null ? MIN_RETRY_MS : Math.max(MIN_RETRY_MS, oldest + WINDOW_MS - nowMs);
    }
  }

  /**
   * Called when an answer has arrived.
   *
   * @param upstream the upstream that answered
   * @param sentMs the time at which the answered request was written
   * @param maxRejectionsPerS how many requests per second the upstream can turn away; empty if it
   *     is not brittle
   * @param turnedAway true if it has turned the request away
   */
  public void onAnswer(
      RegisteredUpstream upstream, long sentMs, OptionalInt maxRejectionsPerS, boolean turnedAway) {
    Budget known = budgets.get(upstream.incarnation());
    if (maxRejectionsPerS.isEmpty()) {
      if (known != null && sentMs > known.announcedMs) {
        budgets.remove(upstream.incarnation());
        Logger.info("upstream is no longer brittle upstream={}", upstream.incarnation());
      }
      return;
    }
    Budget budget = budgets.computeIfAbsent(upstream.incarnation(), this::newBudget);
    budget.maxPerS = maxRejectionsPerS.getAsInt();
    budget.announcedMs = timers.nowMs();
    budget.onAnswer(sentMs, turnedAway, timers.nowMs());
    if (turnedAway) {
      rejectionCount.incrementAndGet();
    }
  }

  private Budget newBudget(String incarnation) {
    Logger.info("upstream announces that it is brittle upstream={}", incarnation);
    return new Budget();
  }

  /**
   * Checks whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @return false if a rejection might exceed the share of this instance
   */
  public boolean hasRoom(RegisteredUpstream upstream) {
    Budget budget = budgets.get(upstream.incarnation());
    return budget == null || budget.usedAt(timers.nowMs()) < share(upstream, budget);
  }

  /**
   * Counts a request that is written next.
   *
   * @param upstream the upstream
   * @return false if it may not be sent now
   */
  public boolean tryAcquire(RegisteredUpstream upstream) {
    Budget budget = budgets.get(upstream.incarnation());
    return budget == null || budget.tryAcquire(share(upstream, budget), timers.nowMs());
  }

  /** The share of this instance, which changes only with the instances and the upstreams. */
  private int share(RegisteredUpstream upstream, Budget budget) {
    long nowMs = timers.nowMs();
    if (nowMs - budget.shareMs >= SHARE_INTERVAL_MS) {
      int share = shareOf(upstream, budget.maxPerS);
      budget.share = share == 0 && hasNoShare(upstream.service()) ? LAST_RESORT : share;
      budget.shareMs = nowMs;
    }
    return budget.share == LAST_RESORT ? (isSparse(upstream, nowMs) ? 1 : 0) : budget.share;
  }

  /** Splits what is announced among all instances; the first ones get what is left over. */
  private int shareOf(RegisteredUpstream upstream, int maxPerS) {
    int instances = fleet.others().size() + 1;
    int rank = RendezvousHash.rankOf(upstream.incarnation(), self, fleet.others());
    return maxPerS / instances + (rank < maxPerS % instances ? 1 : 0);
  }

  private boolean hasNoShare(String service) {
    return list.read().acceptingFor(service).stream()
        .allMatch(
            upstream -> {
              Budget budget = budgets.get(upstream.incarnation());
              return budget != null && shareOf(upstream, budget.maxPerS) == 0;
            });
  }

  private boolean isSparse(RegisteredUpstream upstream, long nowMs) {
    return loads.of(upstream.incarnation()).estimatedCount(nowMs)
        < MAX_SPARSE_OCCUPANCY * upstream.slots();
  }

  /**
   * Returns the time after which a request may be sent to a brittle upstream again.
   *
   * @param upstream the upstream
   * @return milliseconds from now
   */
  public long retryAfterMs(RegisteredUpstream upstream) {
    Budget budget = budgets.get(upstream.incarnation());
    return budget == null ? MIN_RETRY_MS : budget.retryAfterMs(timers.nowMs());
  }

  /**
   * Returns the number of upstreams known to be brittle.
   *
   * @return a count
   */
  public int brittleCount() {
    return budgets.size();
  }

  /**
   * Returns the number of requests of this instance that brittle upstreams have turned away.
   *
   * @return a count since the start
   */
  public long rejectionCount() {
    return rejectionCount.get();
  }
}
