package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.limit.RejectionBudgets;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamBackoffs;
import io.mothrill.core.forward.upstream.UpstreamFilter;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.time.Timers;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Runs all checks before a request is sent, always in the same order, whether it is the first
 * attempt, a retry or the continuation of a stream at another upstream.
 *
 * <pre>{@code
 * UpstreamPicker picker = new UpstreamPicker(list, loads, costs, checks, ...);
 * boolean mayBeWritten = checks.admit(upstream, query);
 * }</pre>
 *
 * <p>Checks of the request itself come first, as their result is the same for every upstream. Then
 * come the decisions of operators, then what upstreams have announced, then the memory of engines,
 * and last the permits, which are limited.
 */
public final class SendChecks implements UpstreamFilter {

  /** Minimum remaining time worth sending a request for: less than the fastest answers take. */
  public static final long MIN_REMAINING_MS = 20;

  /** Used when no upstream is registered; upstreams register within seconds. */
  private static final Rejection NO_UPSTREAM = new Rejection(Cause.NO_UPSTREAM, 700);

  private final PublishedValue<UpstreamList> list;
  private final RejectionBudgets rejectionBudgets;
  private final SendPermits warmUpPermits;
  private final SendPermits limitPermits;
  private final Timers timers;
  private final List<SendCheck> checks;

  /**
   * Creates the checks.
   *
   * @param list the registered upstreams
   * @param regionByDomain the region of each failure domain
   * @param evacuatedDomains the failure domains that operators are evacuating
   * @param leaving the upstreams that have announced that they are leaving
   * @param backoffs the upstreams that have requested a backoff from this instance
   * @param heldTokens rejects engines without enough memory for the request
   * @param rejectionBudgets bounds what brittle upstreams turn away
   * @param warmUpPermits the permits for upstreams that are warming up
   * @param limitPermits the permits for upstreams that announce a rate limit
   * @param timers the clock
   */
  public SendChecks(
      PublishedValue<UpstreamList> list,
      Map<String, String> regionByDomain,
      PublishedValue<Set<String>> evacuatedDomains,
      LeavingUpstreams leaving,
      UpstreamBackoffs backoffs,
      HeldTokensCheck heldTokens,
      RejectionBudgets rejectionBudgets,
      SendPermits warmUpPermits,
      SendPermits limitPermits,
      Timers timers) {
    this.list = list;
    this.rejectionBudgets = rejectionBudgets;
    this.warmUpPermits = warmUpPermits;
    this.limitPermits = limitPermits;
    this.timers = timers;
    this.checks =
        List.of(
            new DeadlineCheck(),
            new ReservationCheck(),
            new QuarantineCheck(),
            new RegionCheck(regionByDomain),
            new VersionCheck(),
            new EvacuationCheck(evacuatedDomains),
            new AvailabilityCheck(list, leaving),
            new BackoffCheck(backoffs),
            heldTokens,
            new RejectionBudgetCheck(rejectionBudgets),
            new PermitCheck(warmUpPermits, Cause.WARMING_UP),
            new PermitCheck(limitPermits, Cause.LIMITED));
  }

  @Override
  public boolean permits(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return checks.stream().allMatch(check -> check.check(upstream, query, nowMs).isEmpty());
  }

  /**
   * Checks a request right before it is written and acquires the permits that its upstream
   * requires.
   *
   * <p>Between selection and an open connection the upstream may have begun to leave, its failure
   * domain may have been evacuated, or the request may have crashed a third upstream elsewhere.
   *
   * @param upstream the selected upstream
   * @param query the request
   * @return true if the request may be written now
   */
  public boolean admit(RegisteredUpstream upstream, UpstreamQuery query) {
    return permits(upstream, query, timers.nowMs())
        && warmUpPermits.tryAcquire(upstream)
        && limitPermits.tryAcquire(upstream)
        && (query.eligibility().isLeased() || rejectionBudgets.tryAcquire(upstream));
  }

  /**
   * Returns why no upstream may get a request: the rejection of the upstream that passed the most
   * checks.
   *
   * @param query the request
   * @return the rejection
   */
  public Rejection findRejection(UpstreamQuery query) {
    record Ranked(int checkIndex, Rejection rejection) {}

    long nowMs = timers.nowMs();
    return list.read().acceptingFor(query.service()).stream()
        .flatMap(
            upstream ->
                IntStream.range(0, checks.size())
                    .mapToObj(
                        checkIndex ->
                            checks
                                .get(checkIndex)
                                .check(upstream, query, nowMs)
                                .map(rejection -> new Ranked(checkIndex, rejection)))
                    .flatMap(Optional::stream)
                    .limit(1))
        .max(
            Comparator.comparingInt(Ranked::checkIndex)
                .thenComparing(
                    ranked -> ranked.rejection().retryAfterMs(), Comparator.reverseOrder()))
        .map(Ranked::rejection)
        .orElse(NO_UPSTREAM);
  }
}
