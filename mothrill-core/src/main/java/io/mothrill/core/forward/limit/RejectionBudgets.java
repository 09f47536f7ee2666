package io.mothrill.core.forward.limit;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.lease.UpstreamLeases;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
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
 *
 * <p>With more instances than rejections, not every instance has a share. Then each request needs a
 * lease, which one instance grants for all.
 */
public final class RejectionBudgets {

  private static final long SHARE_INTERVAL_MS = 500;

  /** Up to this occupancy an upstream has spare places beyond those kept for each instance. */
  private static final double SPARE_OCCUPANCY = 0.75;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final UpstreamLeases leases;
  private final RejectionBroadcast broadcast;
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
   * @param leases the leases of requests for which there is no share
   * @param sender sends reports to other instances
   * @param timers the clock
   */
  public RejectionBudgets(
      InstanceRecord self,
      FleetView fleet,
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      UpstreamLeases leases,
      RejectionReportSender sender,
      Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.list = list;
    this.loads = loads;
    this.leases = leases;
    this.broadcast = new RejectionBroadcast(fleet::others, sender, timers);
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
    Optional<RejectionBudget.Basis> basis =
        budget.onAnswer(sentMs, maxRejectionsPerS, turnedAway, nowMs);
    boolean isBrittle = budget.maxPerS().isPresent();
    if (isBrittle && !wasBrittle) {
      Logger.info("upstream announces that it is brittle upstream={}", upstream.incarnation());
    } else if (wasBrittle && !isBrittle) {
      Logger.info("upstream is no longer brittle upstream={}", upstream.incarnation());
    }
    if (isBrittle && turnedAway) {
      rejectionCount.incrementAndGet();
      logRejection(upstream, sentMs, budget.maxPerS().getAsInt(), basis, nowMs);
    }
    if (isBrittle && !hasShareForAll(budget.maxPerS().getAsInt())) {
      broadcast.onAnnounced(upstream, budget.maxPerS().getAsInt());
    }
  }

  /** Logs what this instance knew when it sent a request that was turned away. */
  private void logRejection(
      RegisteredUpstream upstream,
      long sentMs,
      int maxPerS,
      Optional<RejectionBudget.Basis> basis,
      long nowMs) {
    FleetShare share = shareAt(upstream, nowMs);
    Logger.info(
        "brittle upstream turned request away upstream={} maxPerS={} basis={} instances={} rank={}"
            + " sentAgoMs={} reportAgeMs={}",
        upstream.incarnation(),
        maxPerS,
        basis.map(Enum::name).orElse(hasShareForAll(maxPerS) ? "UNKNOWN" : "LEASE"),
        share.instances(),
        share.rank(),
        nowMs - sentMs,
        loads.of(upstream.incarnation()).reportAgeMs(nowMs));
  }

  /**
   * Called when a report of another instance arrives.
   *
   * @param report the report
   */
  public void onReport(RejectionReport report) {
    list.read()
        .findIncarnation(report.incarnation())
        .map(RegisteredUpstream::service)
        .ifPresent(
            service -> {
              announcements.put(service, new Announcement(report.maxPerS(), timers.nowMs()));
              broadcast.onReported(service);
            });
  }

  /** Checks whether each instance has a share of the rejections. */
  private boolean hasShareForAll(int maxPerS) {
    boolean knowsFleet = !fleet.others().isEmpty() || fleet.isCurrent();
    return knowsFleet && fleet.others().size() < maxPerS;
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
   * Requests the lease that a request to an upstream needs.
   *
   * @param upstream the upstream
   * @param validMs the time within which the request ends
   * @return {@link SendLease#NONE} if none is needed; empty if the upstream bears no more requests
   *     now
   */
  public CompletableFuture<Optional<SendLease>> acquireLease(
      RegisteredUpstream upstream, long validMs) {
    OptionalInt maxPerS = maxRejectionsPerS(upstream);
    return needsLease(maxPerS)
        ? leases.acquire(upstream, maxPerS.getAsInt(), validMs)
        : CompletableFuture.completedFuture(Optional.of(SendLease.NONE));
  }

  private boolean needsLease(OptionalInt maxPerS) {
    return maxPerS.isPresent() && !hasShareForAll(maxPerS.getAsInt());
  }

  /**
   * Checks whether a request may be sent to an upstream now, or a lease requested for it.
   *
   * @param upstream the upstream
   * @return false if a rejection might exceed the share of this instance
   */
  public boolean hasRoom(RegisteredUpstream upstream) {
    OptionalInt maxPerS = maxRejectionsPerS(upstream);
    if (needsLease(maxPerS)) {
      return !leases.isClosed(upstream);
    }
    long nowMs = timers.nowMs();
    return maxPerS.isEmpty()
        || budgetOf(upstream).hasRoom(allowance(upstream, maxPerS.getAsInt(), nowMs), nowMs);
  }

  /**
   * Counts a request that is written next and holds no lease.
   *
   * @param upstream the upstream
   * @return false if it may not be sent now
   */
  public boolean tryAcquire(RegisteredUpstream upstream) {
    OptionalInt maxPerS = maxRejectionsPerS(upstream);
    long nowMs = timers.nowMs();
    return maxPerS.isEmpty()
        || !needsLease(maxPerS)
            && budgetOf(upstream).tryAcquire(allowance(upstream, maxPerS.getAsInt(), nowMs), nowMs);
  }

  /**
   * Calculates what this instance may send: its share of the rejections, and its shares of the
   * spare places and of all places of an upstream that has reported its load.
   */
  private RejectionBudget.Allowance allowance(
      RegisteredUpstream upstream, int maxPerS, long nowMs) {
    FleetShare share = shareAt(upstream, nowMs);
    UpstreamLoad load = loads.of(upstream.incarnation());
    boolean isReported = load.hasRecentReport(nowMs);
    double occupied = load.estimatedCount(nowMs);
    int sparePlaces = Math.max(0, (int) (SPARE_OCCUPANCY * upstream.slots() - occupied));
    return new RejectionBudget.Allowance(
        share.of(maxPerS),
        isReported ? share.of(sparePlaces) : 0,
        isReported && occupied <= upstream.slots() ? share.of(upstream.slots()) : 0,
        load.inFlightCount());
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
    return Math.max(leases.closedForMs(upstream), budgetOf(upstream).retryAfterMs(timers.nowMs()));
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
