package io.mothrill.core.forward.limit;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Bounds how many requests brittle upstreams have to turn away.
 *
 * <p>Such an upstream announces how many requests per second it can turn away for want of room; one
 * more and it falls over. Each instance may cause its share of them. A request counts as well until
 * it is answered, because its rejection may be on the way. What one upstream announces holds for
 * the others of its service until they have answered themselves, since they become brittle together
 * and an instance meets each of them only now and then.
 */
public final class RejectionBudgets {

  private static final long SHARE_INTERVAL_MS = 500;

  /**
   * Upstreams turn requests away only when they are full, so up to this occupancy an instance may
   * have more unanswered requests than its share of rejections.
   */
  private static final double MAX_SPARSE_OCCUPANCY = 0.5;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final Timers timers;
  private final Map<String, RejectionBudget> budgets = new ConcurrentHashMap<>();
  private final Map<String, FleetShare> shares = new ConcurrentHashMap<>();
  private final Map<String, Announcement> announcements = new ConcurrentHashMap<>();
  private final AtomicLong rejectionCount = new AtomicLong();

  /** The last announcement of any upstream of a service. */
  private record Announcement(int maxPerS, long announcedMs) {}

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
        newest -> {
          budgets.keySet().removeIf(incarnation -> !newest.containsIncarnation(incarnation));
          shares.keySet().retainAll(budgets.keySet());
        });
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
    if (maxRejectionsPerS.isEmpty() && announcements.isEmpty() && budgets.isEmpty()) {
      return;
    }
    long nowMs = timers.nowMs();
    recordAnnouncement(upstream.service(), sentMs, maxRejectionsPerS, nowMs);
    RejectionBudget budget = budgetOf(upstream);
    boolean wasBrittle = budget.maxPerS().isPresent();
    budget.onAnswer(sentMs, maxRejectionsPerS, turnedAway, nowMs);
    boolean isBrittle = budget.maxPerS().isPresent();
    if (isBrittle && !wasBrittle) {
      Logger.info("upstream announces that it is brittle upstream={}", upstream.incarnation());
    } else if (wasBrittle && !isBrittle) {
      Logger.info("upstream is no longer brittle upstream={}", upstream.incarnation());
    }
    if (isBrittle && turnedAway) {
      rejectionCount.incrementAndGet();
    }
  }

  private void recordAnnouncement(
      String service, long sentMs, OptionalInt maxRejectionsPerS, long nowMs) {
    if (maxRejectionsPerS.isPresent()) {
      announcements.put(service, new Announcement(maxRejectionsPerS.getAsInt(), nowMs));
    } else {
      announcements.computeIfPresent(
          service, (name, last) -> sentMs > last.announcedMs() ? null : last);
    }
  }

  private RejectionBudget budgetOf(RegisteredUpstream upstream) {
    return budgets.computeIfAbsent(upstream.incarnation(), incarnation -> new RejectionBudget());
  }

  /** Returns how many requests per second an upstream can turn away; empty if it is not brittle. */
  private OptionalInt maxRejectionsPerS(RegisteredUpstream upstream) {
    RejectionBudget budget = budgets.get(upstream.incarnation());
    if (budget != null && budget.maxPerS().isPresent()) {
      return budget.maxPerS();
    }
    Announcement ofService = announcements.get(upstream.service());
    return ofService == null || budget != null && budget.hasAnsweredSince(ofService.announcedMs())
        ? OptionalInt.empty()
        : OptionalInt.of(ofService.maxPerS());
  }

  /**
   * Checks whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @return false if a rejection might exceed the share of this instance
   */
  public boolean hasRoom(RegisteredUpstream upstream) {
    OptionalInt maxPerS = maxRejectionsPerS(upstream);
    long nowMs = timers.nowMs();
    return maxPerS.isEmpty()
        || budgetOf(upstream).hasRoom(allowance(upstream, maxPerS.getAsInt(), nowMs), nowMs);
  }

  /**
   * Counts a request that is written next.
   *
   * @param upstream the upstream
   * @return false if it may not be sent now
   */
  public boolean tryAcquire(RegisteredUpstream upstream) {
    OptionalInt maxPerS = maxRejectionsPerS(upstream);
    long nowMs = timers.nowMs();
    return maxPerS.isEmpty()
        || budgetOf(upstream).tryAcquire(allowance(upstream, maxPerS.getAsInt(), nowMs), nowMs);
  }

  private RejectionBudget.Allowance allowance(
      RegisteredUpstream upstream, int maxPerS, long nowMs) {
    int rejections = shareAt(upstream, nowMs).of(maxPerS);
    return new RejectionBudget.Allowance(
        rejections, sparseAllowance(upstream, rejections == 0, nowMs));
  }

  /** Splits the free places of a sparsely occupied upstream among all instances. */
  private int sparseAllowance(RegisteredUpstream upstream, boolean withoutShare, long nowMs) {
    UpstreamLoad load = loads.of(upstream.incarnation());
    int free = (int) (MAX_SPARSE_OCCUPANCY * upstream.slots() - load.estimatedCount(nowMs));
    if (free <= 0) {
      return 0;
    }
    int split = load.hasRecentReport(nowMs) ? shareAt(upstream, nowMs).of(free) : 0;
    return Math.max(split, withoutShare && hasNoShare(upstream.service(), nowMs) ? 1 : 0);
  }

  /** With more instances than rejections to share, some have no share at any upstream. */
  private boolean hasNoShare(String service, long nowMs) {
    return list.read().acceptingFor(service).stream()
        .allMatch(
            upstream -> {
              OptionalInt maxPerS = maxRejectionsPerS(upstream);
              return maxPerS.isPresent() && shareAt(upstream, nowMs).of(maxPerS.getAsInt()) == 0;
            });
  }

  private FleetShare shareAt(RegisteredUpstream upstream, long nowMs) {
    return shares.compute(
        upstream.incarnation(),
        (incarnation, known) ->
            known == null || nowMs - known.calculatedMs() >= SHARE_INTERVAL_MS
                ? newShare(incarnation, nowMs)
                : known);
  }

  private FleetShare newShare(String incarnation, long nowMs) {
    return new FleetShare(
        fleet.others().size() + 1, RendezvousHash.rankOf(incarnation, self, fleet.others()), nowMs);
  }

  /**
   * Returns the time after which a request may be sent to a brittle upstream again.
   *
   * @param upstream the upstream
   * @return milliseconds from now
   */
  public long retryAfterMs(RegisteredUpstream upstream) {
    return budgetOf(upstream).retryAfterMs(timers.nowMs());
  }

  /**
   * Returns the number of upstreams known to be brittle.
   *
   * @return a count
   */
  public int brittleCount() {
    return (int) budgets.values().stream().filter(budget -> budget.maxPerS().isPresent()).count();
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
