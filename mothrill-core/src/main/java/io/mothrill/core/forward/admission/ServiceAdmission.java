package io.mothrill.core.forward.admission;

import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.time.Timers;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * Decides which requests are admitted to one service while it is full; thread-safe.
 *
 * <p>While upstreams turn requests away, or load reports leave few slots free, the requests of this
 * instance in flight are limited. Teams share the limit by max-min fairness, and its last fifth is
 * open only to urgent requests. Nothing queues: a request is admitted or refused at once.
 *
 * <pre>{@code
 * Optional<Rejection> rejection = admission.admit(request);
 * if (rejection.isEmpty()) {
 *   admission.onStarted(request);
 * }
 * }</pre>
 */
public final class ServiceAdmission {

  /** The part of the limit that is open to all priorities. */
  private static final double OPEN_TO_ALL = 0.8;

  /**
   * Shares apply while this part of the limit is in use. Without this condition, teams were refused
   * for short bursts while the service as a whole had room.
   */
  private static final double SCARCE_PART = 0.8;

  /** How long an estimate of the occupancy is used; it reads the loads of all upstreams. */
  private static final long OCCUPANCY_MS = 20;

  /** A request that waits at an upstream for more than this part of its target is probably late. */
  private static final double MAX_WAIT_OF_TARGET = 0.5;

  /**
   * Up to this wait, queued requests only keep all slots in use. Limits that started without a wait
   * refused 1 to 4 percent of a demand of four fifths of the slots.
   */
  private static final double GROWTH_WAIT_OF_TARGET = 0.25;

  private final String service;
  private final OccupancySource occupancySource;
  private final RetryAfterPolicy retryAfter;
  private final Timers timers;
  private final RandomGenerator random;
  private final InFlightLimit limit = new InFlightLimit();
  private final TeamShares teams = new TeamShares();
  private final PriorityUse priorities = new PriorityUse();
  private final InFlightAverage inFlight = new InFlightAverage();
  private final DecayingSum answers = new DecayingSum();
  private final DecayingSum overLimit = new DecayingSum();
  private Occupancy occupancy = new Occupancy(0, 0, 0);
  private long occupancyAtMs = Long.MIN_VALUE / 2;
  private AdmissionCounts counts = AdmissionCounts.NONE;

  /**
   * Creates the admission of a service; there is no limit at first.
   *
   * @param service the service's name
   * @param occupancySource estimates how much of the service is in use
   * @param retryAfter decides when refused callers retry
   * @param timers the clock
   * @param random distributes fractions of a limit over requests
   */
  public ServiceAdmission(
      String service,
      OccupancySource occupancySource,
      RetryAfterPolicy retryAfter,
      Timers timers,
      RandomGenerator random) {
    this.service = service;
    this.occupancySource = occupancySource;
    this.retryAfter = retryAfter;
    this.timers = timers;
    this.random = random;
  }

  /**
   * Checks whether a request may start. A refused request counts as demand of its team.
   *
   * @param request the request
   * @return the rejection, or empty if it may start
   */
  public synchronized Optional<Rejection> admit(AdmissionRequest request) {
    return check(request, 0);
  }

  /**
   * Checks whether a started request that an upstream has turned away may be sent to another one.
   *
   * @param request the request
   * @return the rejection, or empty if it may be sent again
   */
  public synchronized Optional<Rejection> admitAgain(AdmissionRequest request) {
    return check(request, 1);
  }

  private Optional<Rejection> check(AdmissionRequest request, int ownCount) {
    long nowMs = timers.nowMs();
    priorities.onRequest(request.priority(), nowMs);
    updateLimit(request.targetLatencyMs(), nowMs);
    if (!limit.exists() || !occupancy.isBusy()) {
      return Optional.empty();
    }
    TeamUse team = teams.of(request.team());
    double open = limit.value() * (priorities.isUrgent(request.priority()) ? 1 : OPEN_TO_ALL);
    double share = teams.largestShare(open, holdMs(nowMs), nowMs);
    boolean isScarce = inFlight.averageAt(nowMs) >= SCARCE_PART * open;
    if (ownCount == 0 && isScarce && !team.isWithin(share, nowMs)) {
      counts = counts.plus(new AdmissionCounts(0, 0, 1, 0));
      double ahead = team.refusalsAt(nowMs);
      team.onRefused(nowMs);
      return Optional.of(refuse(Cause.OVER_SHARE, request, ahead, share / limit.value()));
    }
    // A limit of few requests would leave slots unused if it bounded the number at each moment; the
    // shares bound the average. The fraction of a limit is open to that fraction of the requests.
    double mostNow = open + Math.sqrt(open) + random.nextDouble();
    if (inFlight.count() - ownCount + 1 > mostNow) {
      counts = counts.plus(new AdmissionCounts(0, 1, 0, 0));
      team.onRefused(nowMs);
      double ahead = overLimit.at(nowMs);
      overLimit.add(1, nowMs);
      return Optional.of(refuse(Cause.OVER_LIMIT, request, ahead, 1));
    }
    return Optional.empty();
  }

  private Rejection refuse(
      Cause cause, AdmissionRequest request, double refusedBefore, double partOfAnswers) {
    return new Rejection(cause, untilSlotFreeMs(request, refusedBefore, partOfAnswers));
  }

  /**
   * Returns the time until a slot is probably free for a request that upstreams have turned away.
   *
   * @param request the request
   * @return the time
   */
  public synchronized long untilSlotFreeMs(AdmissionRequest request) {
    return untilSlotFreeMs(request, overLimit.at(timers.nowMs()), 1);
  }

  private long untilSlotFreeMs(
      AdmissionRequest request, double refusedBefore, double partOfAnswers) {
    long nowMs = timers.nowMs();
    return retryAfter.untilSlotFreeMs(
        1 + refusedBefore,
        partOfAnswers * answers.at(nowMs) / DecayingSum.TIME_CONSTANT_MS,
        request.callerDeadlineMs() - nowMs);
  }

  /**
   * Adds jitter to the time of another refusal; it does not become shorter.
   *
   * @param fixedMs the time
   * @param request the refused request
   * @return the time with jitter
   */
  public long spreadMs(long fixedMs, AdmissionRequest request) {
    return retryAfter.spreadMs(fixedMs, request.callerDeadlineMs() - timers.nowMs());
  }

  /**
   * Called when an admitted request starts.
   *
   * @param request the request
   */
  public synchronized void onStarted(AdmissionRequest request) {
    long nowMs = timers.nowMs();
    inFlight.add(1, nowMs);
    teams.of(request.team()).onStarted(nowMs);
  }

  /**
   * Called when a started request has ended.
   *
   * @param request the request
   * @param answered whether an upstream has answered it
   */
  public synchronized void onEnded(AdmissionRequest request, boolean answered) {
    long nowMs = timers.nowMs();
    inFlight.add(-1, nowMs);
    teams.of(request.team()).onEnded(nowMs);
    if (answered) {
      answers.add(1, nowMs);
      updateLimit(request.targetLatencyMs(), nowMs);
      if (waitMs(nowMs) < GROWTH_WAIT_OF_TARGET * request.targetLatencyMs()) {
        limit.onAnswered(inFlight.averageAt(nowMs), nowMs);
      }
    }
  }

  /**
   * Called when an upstream has turned a request away because it is full.
   *
   * <p>Turned-away requests say nothing about a service that is known to have free slots: a single
   * upstream may be broken.
   */
  public synchronized void onTurnedAway() {
    long nowMs = timers.nowMs();
    counts = counts.plus(new AdmissionCounts(0, 0, 0, 1));
    readOccupancy(nowMs);
    if (occupancy.isCrowded()) {
      boolean existed = limit.exists();
      limit.onRejected(startValue(nowMs), nowMs);
      logStart(existed, "turned away");
    }
  }

  /**
   * Returns the counts of this service.
   *
   * @return the counts since the start
   */
  public synchronized AdmissionCounts counts() {
    endLimitIfFree(timers.nowMs());
    return counts.plus(new AdmissionCounts(limit.exists() ? 1 : 0, 0, 0, 0));
  }

  private void updateLimit(long targetLatencyMs, long nowMs) {
    readOccupancy(nowMs);
    boolean existed = limit.exists();
    if (occupancy.isFull() && waitMs(nowMs) > GROWTH_WAIT_OF_TARGET * targetLatencyMs) {
      limit.onFull(startValue(nowMs), nowMs);
      if (waitMs(nowMs) > MAX_WAIT_OF_TARGET * targetLatencyMs) {
        limit.shrink(startValue(nowMs), nowMs);
      }
    }
    logStart(existed, "no free slots");
    endLimitIfFree(nowMs);
  }

  private void readOccupancy(long nowMs) {
    if (nowMs - occupancyAtMs >= OCCUPANCY_MS) {
      occupancyAtMs = nowMs;
      occupancy = occupancySource.read(service, nowMs);
    }
  }

  private double startValue(long nowMs) {
    return Math.max(1, Math.max(inFlight.count(), inFlight.averageAt(nowMs))) / OPEN_TO_ALL;
  }

  /** Estimates by Little's law how long a request is in flight. */
  private double holdMs(long nowMs) {
    double answersPerS = answers.at(nowMs);
    return answersPerS > 0
        ? inFlight.averageAt(nowMs) * DecayingSum.TIME_CONSTANT_MS / answersPerS
        : 0;
  }

  /** Estimates how long a request waits in the queue of an upstream. */
  private double waitMs(long nowMs) {
    return occupancy.queuedShare() * holdMs(nowMs);
  }

  private void logStart(boolean existed, String sign) {
    if (!existed && limit.exists()) {
      Logger.info(
          "admission limit starts service={} sign={} limit={} takenSlots={} slots={} queued={}",
          service,
          sign,
          Math.round(limit.value()),
          Math.round(occupancy.taken()),
          Math.round(occupancy.slots()),
          Math.round(occupancy.queued()));
    }
  }

  private void endLimitIfFree(long nowMs) {
    if (limit.endIfFree(nowMs)) {
      Logger.info(
          "admission limit ends service={} forMs={} limit={} overLimit={} overShare={}",
          service,
          nowMs - limit.startedMs(),
          Math.round(limit.value()),
          counts.overLimit(),
          counts.overShare());
    }
  }
}
