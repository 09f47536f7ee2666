package io.mothrill.core.forward.lease;

import io.mothrill.core.forward.lease.LeaseLedger.LeaseKey;
import io.mothrill.core.forward.lease.LeaseMessage.Verdict;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** Grants leases at the upstreams that this instance coordinates. */
final class LeaseCoordinator {

  /** Shorter than the time after which others drop an instance that does not renew its row. */
  private static final long MAX_REGISTRATION_AGE_MS = 8_000;

  /** Requests that hold leases of an earlier coordinator, or none, mostly end within this time. */
  private static final long TAKEOVER_MS = 2_000;

  /** How often this instance checks whether it is still the only coordinator. */
  private static final long CHECK_INTERVAL_MS = 250;

  private final InstanceRecord self;
  private final FleetView fleet;
  private final CoordinatorRanking ranking;
  private final Timers timers;
  private final Map<String, LeaseLedger> ledgers = new ConcurrentHashMap<>();

  /** Since when this instance has been the only coordinator, by incarnation. */
  private final Map<String, Long> coordinatorSinceMs = new ConcurrentHashMap<>();

  LeaseCoordinator(
      InstanceRecord self, FleetView fleet, CoordinatorRanking ranking, Timers timers) {
    this.self = self;
    this.fleet = fleet;
    this.ranking = ranking;
    this.timers = timers;
    timers.every(CHECK_INTERVAL_MS, () -> ledgers.values().forEach(this::updateTenure));
  }

  Verdict decide(LeaseMessage.Request request, RegisteredUpstream upstream, String holder) {
    long nowMs = timers.nowMs();
    LeaseLedger ledger =
        ledgers.computeIfAbsent(upstream.incarnation(), incarnation -> new LeaseLedger(upstream));
    updateTenure(ledger);
    Optional<LeaseShare> share =
        findShare(upstream, request.maxPerS(), request.toSubstitute(), nowMs);
    if (share.isEmpty()) {
      return Verdict.NOT_COORDINATOR;
    }
    LeaseKey key = new LeaseKey(holder, request.leaseId());
    return ledger.tryGrant(key, share.get(), request.validMs(), nowMs)
        ? Verdict.GRANTED
        : Verdict.DENIED;
  }

  private Optional<LeaseShare> findShare(
      RegisteredUpstream upstream, int maxPerS, boolean isSubstitute, long nowMs) {
    List<InstanceRecord> candidates = ranking.candidates(upstream);
    boolean isFirst = candidates.get(0).equals(self);
    boolean isSecond = candidates.size() > 1 && candidates.get(1).equals(self);
    if (!knowsFleet() || !(isFirst || isSecond && isSubstitute)) {
      return Optional.empty();
    }
    Long sinceMs = coordinatorSinceMs.get(upstream.incarnation());
    return Optional.of(
        sinceMs != null && nowMs - sinceMs >= TAKEOVER_MS
            ? LeaseShare.ofCoordinator(upstream.slots(), maxPerS)
            : LeaseShare.ofReserve(maxPerS));
  }

  private void updateTenure(LeaseLedger ledger) {
    RegisteredUpstream upstream = ledger.upstream();
    if (knowsFleet() && ranking.candidates(upstream).get(0).equals(self) && isOnlyCoordinator()) {
      coordinatorSinceMs.putIfAbsent(upstream.incarnation(), timers.nowMs());
    } else {
      coordinatorSinceMs.remove(upstream.incarnation());
    }
  }

  /** An instance that has just started would take itself for the only one. */
  private boolean knowsFleet() {
    return !fleet.others().isEmpty() || fleet.isCurrent();
  }

  /** Checks that no other instance can have taken over without the knowledge of this one. */
  private boolean isOnlyCoordinator() {
    return fleet.isCurrent() && fleet.registrationAgeMs() <= MAX_REGISTRATION_AGE_MS;
  }

  void onUpdate(LeaseMessage.Update update, String holder) {
    Optional.ofNullable(ledgers.get(update.incarnation()))
        .ifPresent(
            ledger ->
                ledger.onUpdate(
                    new LeaseKey(holder, update.leaseId()),
                    update.state(),
                    update.requestCount(),
                    timers.nowMs()));
  }

  void retain(Predicate<String> isListed) {
    ledgers.keySet().removeIf(isListed.negate());
    coordinatorSinceMs.keySet().removeIf(isListed.negate());
  }

  int heldCount() {
    long nowMs = timers.nowMs();
    return ledgers.values().stream().mapToInt(ledger -> ledger.heldCount(nowMs)).sum();
  }
}
