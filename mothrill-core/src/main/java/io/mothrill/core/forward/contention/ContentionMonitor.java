package io.mothrill.core.forward.contention;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.tinylog.Logger;

/**
 * Observes how long requests wait at upstreams, records it and reports it to other instances.
 *
 * <p>A request that is still waiting is observed too: the response of a stalled upstream would come
 * after its callers are late, and after hundreds of other requests were sent there.
 *
 * <pre>{@code
 * RequestObservation observation = monitor.onPromptSent(upstream, targetLatencyMs, uncachedTokens);
 * observation.onHead(running, queued, slowdown);
 * observation.onAnswered();
 * }</pre>
 */
public final class ContentionMonitor {

  /** Part of the target latency by which a response exceeds its expected time when reported. */
  private static final double REPORTED_TARGET_SHARE = 0.25;

  /**
   * Added to the wait of a request that is still waiting, as its end is not known. It covers two
   * checks, and others use the upstream again after half of the wait at the earliest, so that they
   * do not return between two reports.
   */
  private static final long STILL_WAITING_MS = 200;

  /**
   * Requests waiting at fewer upstreams may really wait there although no other response arrives.
   */
  private static final int MIN_STALLED_UPSTREAMS = 4;

  private final UpstreamContention contention;
  private final UpstreamLoads loads;
  private final LoadFeatures features;
  private final PublishedValue<UpstreamList> list;
  private final ContentionBroadcast broadcast;
  private final WorkTimes workTimes;
  private final FirstEventEstimate firstEvents;
  private final Predicate<RegisteredUpstream> isPathBroken;
  private final Timers timers;
  private final OwnDelay ownDelay;
  private final CommonDelay commonDelay = new CommonDelay();
  private volatile long lastResponseMs;
  private final Set<Active> waiting = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean started = new AtomicBoolean();
  private final AtomicLong receivedCount = new AtomicLong();
  private final AtomicLong ignoredCount = new AtomicLong();

  /**
   * Creates the monitor, which begins with the first request that it observes.
   *
   * @param contention records what is observed
   * @param loads record the reported numbers of requests
   * @param features determines for which services requests are observed
   * @param list the registered upstreams
   * @param broadcast reports to other instances
   * @param workTimes the expected times of plain requests
   * @param firstEvents estimates when the first event of a stream arrives
   * @param isPathBroken checks whether this instance has lost its path to an upstream
   * @param timers the clock and timers
   */
  public ContentionMonitor(
      UpstreamContention contention,
      UpstreamLoads loads,
      LoadFeatures features,
      PublishedValue<UpstreamList> list,
      ContentionBroadcast broadcast,
      WorkTimes workTimes,
      FirstEventEstimate firstEvents,
      Predicate<RegisteredUpstream> isPathBroken,
      Timers timers) {
    this.contention = contention;
    this.loads = loads;
    this.features = features;
    this.list = list;
    this.broadcast = broadcast;
    this.workTimes = workTimes;
    this.firstEvents = firstEvents;
    this.isPathBroken = isPathBroken;
    this.timers = timers;
    this.ownDelay = new OwnDelay(timers);
    list.subscribe(contention::retain);
    list.subscribe(broadcast::retain);
  }

  /** A request at an upstream of a service for which decisions under load are active. */
  private final class Active implements RequestObservation {
    private final RegisteredUpstream upstream;
    private final boolean plain;
    private final double reportedExcessMs;
    private final double expectedMs;
    private final long sentMs = timers.nowMs();
    private final long lostBeforeMs = ownDelay.lostMs();
    private volatile OptionalInt running = OptionalInt.empty();
    private volatile OptionalInt queued = OptionalInt.empty();
    private volatile OptionalDouble slowdown = OptionalDouble.empty();

    Active(RegisteredUpstream upstream, boolean plain, long targetLatencyMs, double expectedMs) {
      this.upstream = upstream;
      this.plain = plain;
      this.reportedExcessMs = REPORTED_TARGET_SHARE * targetLatencyMs;
      this.expectedMs = expectedMs;
    }

    @Override
    public void onHead(OptionalInt runningNow, OptionalInt queuedNow, OptionalDouble slowdownNow) {
      running = runningNow;
      queued = queuedNow;
      lastResponseMs = timers.nowMs();
      slowdown = slowdownNow;
      slowdownNow.ifPresent(
          factor -> contention.onSlowdown(upstream.incarnation(), factor, timers.nowMs()));
    }

    /**
     * Returns the time since sending, without what delays all responses and the time for which this
     * instance did not run; the latter is known up to one interval of the tick.
     */
    private double elapsedMs(long nowMs) {
      long lostMs = ownLostMs();
      double ownMs = lostMs == 0 ? 0 : lostMs + OwnDelay.INTERVAL_MS;
      return Math.max(0, nowMs - sentMs - ownMs - commonDelay.ms(nowMs));
    }

    private long ownLostMs() {
      return ownDelay.lostMs() - lostBeforeMs;
    }

    /** Returns the time that the request has waited, without the slower work on a slow machine. */
    private double waitMs(double elapsedMs, long nowMs) {
      double factor = slowdown.orElseGet(() -> contention.slowdown(upstream.incarnation(), nowMs));
      return Math.max(0, elapsedMs - expectedMs * Math.max(1, factor));
    }

    @Override
    public void onAnswered() {
      if (!waiting.remove(this)) {
        return;
      }
      long nowMs = timers.nowMs();
      lastResponseMs = nowMs;
      double elapsedMs = elapsedMs(nowMs);
      double waitMs = waitMs(elapsedMs, nowMs);
      commonDelay.onResponse(
          upstream.incarnation(), nowMs - sentMs - ownLostMs() - expectedMs, nowMs);
      contention.onObservedWait(upstream.incarnation(), waitMs, sentMs, nowMs);
      if (plain && ownLostMs() == 0) {
        workTimes.onAnswered(upstream.service(), elapsedMs / slowdown.orElse(1));
      }
      if (elapsedMs - expectedMs > reportedExcessMs || queued.orElse(0) > 0) {
        report(waitMs);
      }
    }

    @Override
    public void onNotRun() {
      if (waiting.remove(this) && queued.orElse(0) > 0) {
        report(0);
      }
    }

    private boolean isOverdue(long nowMs) {
      return elapsedMs(nowMs) - expectedMs > reportedExcessMs;
    }

    /** Checks whether another response has arrived since this one was expected. */
    private boolean isOvertaken() {
      return lastResponseMs >= sentMs + expectedMs;
    }

    private void onStillWaiting(long nowMs) {
      double waitMs = waitMs(elapsedMs(nowMs), nowMs);
      double untilCheckedMs = waitMs > 0 ? waitMs + STILL_WAITING_MS : 0;
      contention.onObservedWait(upstream.incarnation(), untilCheckedMs, sentMs, nowMs);
      report(untilCheckedMs);
    }

    private void report(double waitMs) {
      broadcast.offer(
          new ContentionReport(
              upstream.incarnation(), Math.round(waitMs), slowdown, running, queued));
    }

    @Override
    public void stop() {
      waiting.remove(this);
    }
  }

  /**
   * Called when a request with a prompt was sent whose response is a stream.
   *
   * @param upstream the upstream
   * @param targetLatencyMs the target time to the first event
   * @param uncachedTokens the estimated number of tokens to prefill
   * @return observes the request
   */
  public RequestObservation onPromptSent(
      RegisteredUpstream upstream, long targetLatencyMs, long uncachedTokens) {
    return isObserved(upstream)
        ? observe(
            new Active(
                upstream,
                false,
                targetLatencyMs,
                firstEvents.firstEventMs(upstream.service(), uncachedTokens)))
        : RequestObservation.NONE;
  }

  /**
   * Called when a plain request was sent.
   *
   * @param upstream the upstream
   * @param targetLatencyMs the target time to the whole response, which is expected as long as no
   *     response of the service has arrived
   * @return observes the request
   */
  public RequestObservation onPlainSent(RegisteredUpstream upstream, long targetLatencyMs) {
    return isObserved(upstream)
        ? observe(
            new Active(
                upstream,
                true,
                targetLatencyMs,
                workTimes.expectedMs(upstream.service()).orElse((double) targetLatencyMs)))
        : RequestObservation.NONE;
  }

  /** Checks whether requests are observed; starts the periodic checks with the first of them. */
  private boolean isObserved(RegisteredUpstream upstream) {
    boolean active = features.isActive(upstream.service());
    if (active && started.compareAndSet(false, true)) {
      ownDelay.start();
      timers.every(OwnDelay.INTERVAL_MS, this::check);
    }
    return active;
  }

  private RequestObservation observe(Active request) {
    waiting.add(request);
    return request;
  }

  /**
   * Checks the requests that are still waiting. If no response arrives from any of several
   * upstreams, the connection of this instance has failed rather than all of them. A request that
   * was sent on a path that is broken now says nothing about its upstream either.
   */
  private void check() {
    ownDelay.onTick();
    long nowMs = timers.nowMs();
    List<Active> overdue =
        waiting.stream()
            .filter(request -> request.isOverdue(nowMs))
            .filter(request -> !isPathBroken.test(request.upstream))
            .toList();
    long upstreamCount = overdue.stream().map(request -> request.upstream).distinct().count();
    overdue.stream()
        .filter(request -> request.isOvertaken() || upstreamCount < MIN_STALLED_UPSTREAMS)
        .forEach(request -> request.onStillWaiting(nowMs));
  }

  /**
   * Called when a report of another instance arrives.
   *
   * <p>Ignored are reports about processes that are not registered, about services without
   * decisions under load, and those that may have arrived while this instance did not run.
   *
   * @param report the report
   */
  public void onReport(ContentionReport report) {
    receivedCount.incrementAndGet();
    String incarnation = report.incarnation();
    Optional<RegisteredUpstream> upstream = list.read().findIncarnation(incarnation);
    if (upstream.filter(known -> features.isActive(known.service())).isEmpty()
        || ownDelay.isBehind()) {
      ignoredCount.incrementAndGet();
      Logger.debug("contention report ignored upstream={}", incarnation);
      return;
    }
    long nowMs = timers.nowMs();
    broadcast.onReceived(report);
    contention.onReportedWait(incarnation, (double) report.waitMs(), nowMs);
    report.slowdown().ifPresent(factor -> contention.onSlowdown(incarnation, factor, nowMs));
    report
        .running()
        .ifPresent(
            running -> loads.of(incarnation).onReport(running, report.queued().orElse(0), nowMs));
  }

  /**
   * Returns the current counts.
   *
   * @return slow upstreams, and reports since the start
   */
  public ContentionCounts counts() {
    return new ContentionCounts(
        contention.waitingCount(timers.nowMs()),
        broadcast.sentCount(),
        broadcast.droppedCount(),
        receivedCount.get(),
        ignoredCount.get());
  }
}
