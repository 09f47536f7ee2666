package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
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
 * Everything that a request meets before it is sent, in one order, whether it is sent for the first
 * time, again, or goes on elsewhere.
 *
 * <pre>{@code
 * UpstreamPicker picker = new UpstreamPicker(list, loads, costs, checks, ...);
 * boolean mayBeWritten = checks.admit(upstream, query);
 * }</pre>
 *
 * <p>What concerns the request itself comes first, as it is the same for every upstream. Then comes
 * what operators say, then what upstreams say, and at last what is used up by asking for it.
 */
public final class SendChecks implements UpstreamFilter {

  /** Least time that is worth an upstream's work: less than its fastest answers take. */
  public static final long MIN_REMAINING_MS = 20;

  /** When to come back if nobody is there: upstreams register within seconds. */
  private static final Rejection NO_UPSTREAM = new Rejection(Cause.NO_UPSTREAM, 700);

  private final PublishedValue<UpstreamList> list;
  private final SendPermits warmUpPermits;
  private final SendPermits limitPermits;
  private final Timers timers;
  private final List<SendCheck> checks;

  /**
   * Creates the checks.
   *
   * @param list the registered upstreams
   * @param regionByDomain the region of each failure domain
   * @param evacuatedDomains the failure domains that operators are emptying
   * @param leaving the upstreams that have said that they leave
   * @param resting the upstreams that have asked this instance for rest
   * @param warmUps shares out what upstreams bear while they warm up
   * @param limits shares out what upstreams take that name a limit
   * @param timers the time
   */
  public SendChecks(
      PublishedValue<UpstreamList> list,
      Map<String, String> regionByDomain,
      PublishedValue<Set<String>> evacuatedDomains,
      LeavingUpstreams leaving,
      UpstreamBackoffs resting,
      SendPermits warmUps,
      SendPermits limits,
      Timers timers) {
    this.list = list;
    this.warmUpPermits = warmUps;
    this.limitPermits = limits;
    this.timers = timers;
    this.checks =
        List.of(
            new DeadlineCheck(),
            new ReservationCheck(),
            new QuarantineCheck(),
            new RegionCheck(regionByDomain),
            new EvacuationCheck(evacuatedDomains),
            new AvailabilityCheck(list, leaving),
            new BackoffCheck(resting),
            new PermitCheck(warmUps, Cause.WARMING_UP),
            new PermitCheck(limits, Cause.LIMITED));
  }

  @Override
  public boolean permits(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return checks.stream().allMatch(check -> check.check(upstream, query, nowMs).isEmpty());
  }

  /**
   * Decides right before a request is written, and counts it where an upstream takes only so much.
   *
   * <p>Between the choice and an open connection an upstream may begin to leave, its domain may be
   * evacuated, or the request may have ended a third upstream elsewhere.
   *
   * @param upstream the upstream that was chosen
   * @param query the request
   * @return true when it may be written now
   */
  public boolean admit(RegisteredUpstream upstream, UpstreamQuery query) {
    return permits(upstream, query, timers.nowMs())
        && warmUpPermits.tryAcquire(upstream)
        && limitPermits.tryAcquire(upstream);
  }

  /**
   * Says why no upstream may get a request: what stands in the way of the one that comes nearest.
   *
   * @param query the request
   * @return the objection
   */
  public Rejection findRejection(UpstreamQuery query) {
    record Placed(int place, Rejection objection) {}

    long nowMs = timers.nowMs();
    return list.read().acceptingFor(query.service()).stream()
        .flatMap(
            upstream ->
                IntStream.range(0, checks.size())
                    .mapToObj(
                        place ->
                            checks
                                .get(place)
                                .check(upstream, query, nowMs)
                                .map(objection -> new Placed(place, objection)))
                    .flatMap(Optional::stream)
                    .limit(1))
        .max(
            Comparator.comparingInt(Placed::place)
                .thenComparing(
                    placed -> placed.objection().retryAfterMs(), Comparator.reverseOrder()))
        .map(Placed::objection)
        .orElse(NO_UPSTREAM);
  }
}
