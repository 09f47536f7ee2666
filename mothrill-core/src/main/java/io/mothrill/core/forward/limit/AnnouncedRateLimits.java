package io.mothrill.core.forward.limit;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.permit.RateLimit;
import io.mothrill.core.forward.permit.RateLimits;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.peer.ReportRateLimiter;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Tracks the rate limits that upstreams announce in their answers.
 *
 * <p>Most instances send nothing to such an upstream and get no more answers from it, so instances
 * report to each other when a limit begins, changes and ends, and repeat a limit that still holds.
 */
public final class AnnouncedRateLimits implements RateLimits {

  /** Length of the sliding window over which a limit is enforced. */
  private static final long WINDOW_MS = 4_000;

  /** A limit that allows fewer requests in a window is enforced over a longer window instead. */
  private static final int MIN_WINDOW_REQUESTS = 2;

  private static final double MS_PER_S = 1_000;

  /** Interval at which an unchanged limit is reported again. */
  private static final long REPEAT_INTERVAL_MS = 2_000;

  /** Minimum interval between reports of changes of the same limit. */
  private static final long CHANGE_INTERVAL_MS = 500;

  /**
   * Maximum delay of a report. One that allows more than a limit confirmed within this time may be
   * outdated.
   */
  private static final long MAX_REPORT_DELAY_MS = 2_000;

  /** After this time a report of the end of a limit cannot be mistaken for an outdated one. */
  private static final long REPEAT_REMOVAL_MS = MAX_REPORT_DELAY_MS + CHANGE_INTERVAL_MS;

  /** Maximum number of reports per second from one instance, each to all others. */
  private static final int MAX_REPORTS_PER_S = 20;

  private static final long MIN_RETRY_MS = 250;

  /**
   * An entry of the upstream list can expire while the store is unreachable and return unchanged,
   * so limits are retained for longer than such an outage.
   */
  private static final long RETENTION_MS = 60_000;

  /** A limit may end at any time. */
  private static final long MAX_RETRY_MS = 4_000;

  private final Supplier<List<InstanceRecord>> others;
  private final RateLimitReportSender sender;
  private final PublishedValue<UpstreamList> list;
  private final Timers timers;
  private final ReportRateLimiter rate = new ReportRateLimiter(MAX_REPORTS_PER_S);
  private final Map<String, AnnouncedLimit> limits = new ConcurrentHashMap<>();
  private final Map<String, Long> broadcastMs = new ConcurrentHashMap<>();

  /**
   * The rate limit of one upstream.
   *
   * @param limitPerS the requests per second that the upstream accepts from all instances
   * @param sinceMs the time since which any limit of the upstream is known
   * @param confirmedMs the time it was last confirmed by the upstream or another instance
   * @param sentCount the requests that this instance has sent to the upstream since then
   */
  private record AnnouncedLimit(
      double limitPerS, long sinceMs, long confirmedMs, AtomicLong sentCount) {}

  /**
   * Creates the limits; none is known initially.
   *
   * @param others the instances to report to
   * @param sender sends the reports
   * @param list the registered upstreams
   * @param timers the clock
   */
  public AnnouncedRateLimits(
      Supplier<List<InstanceRecord>> others,
      RateLimitReportSender sender,
      PublishedValue<UpstreamList> list,
      Timers timers) {
    this.others = others;
    this.sender = sender;
    this.list = list;
    this.timers = timers;
    list.subscribe(this::retain);
  }

  private void retain(UpstreamList newest) {
    long nowMs = timers.nowMs();
    limits
        .entrySet()
        .removeIf(
            entry ->
                newest.isReplaced(entry.getKey())
                    || !newest.containsIncarnation(entry.getKey())
                        && nowMs - entry.getValue().confirmedMs() > RETENTION_MS);
    broadcastMs.keySet().retainAll(limits.keySet());
  }

  /**
   * Called when an answer has arrived.
   *
   * @param upstream the upstream that answered
   * @param sentMs the time at which the answered request was written
   * @param limitPerS the announced limit; empty if it announces none
   */
  public void onAnswer(RegisteredUpstream upstream, long sentMs, OptionalDouble limitPerS) {
    String incarnation = upstream.incarnation();
    AnnouncedLimit known = limits.get(incarnation);
    if (known == null && limitPerS.isEmpty() || isOutdated(known, limitPerS, sentMs)) {
      return;
    }
    if (limitPerS.isEmpty()) {
      removeLimit(incarnation);
      broadcastRemoval(incarnation);
      return;
    }
    boolean isNew = known == null || known.limitPerS() != limitPerS.getAsDouble();
    recordLimit(incarnation, limitPerS.getAsDouble());
    broadcastLimit(
        new RateLimitReport(incarnation, limitPerS),
        isNew ? CHANGE_INTERVAL_MS : REPEAT_INTERVAL_MS);
  }

  /**
   * Called when a report of another instance arrives.
   *
   * @param report the report
   */
  public void onReport(RateLimitReport report) {
    AnnouncedLimit known = limits.get(report.incarnation());
    if (!list.read().containsIncarnation(report.incarnation())
        || isOutdated(known, report.limitPerS(), timers.nowMs() - MAX_REPORT_DELAY_MS)) {
      return;
    }
    report
        .limitPerS()
        .ifPresentOrElse(
            limitPerS -> recordLimit(report.incarnation(), limitPerS),
            () -> removeLimit(report.incarnation()));
  }

  /**
   * Checks whether a value that allows more may be older than the known one. Answers and reports
   * may arrive out of order.
   */
  private static boolean isOutdated(
      AnnouncedLimit known, OptionalDouble limitPerS, long sentAfterMs) {
    return known != null
        && limitPerS.orElse(Double.MAX_VALUE) > known.limitPerS()
        && sentAfterMs <= known.confirmedMs();
  }

  private void recordLimit(String incarnation, double limitPerS) {
    long nowMs = timers.nowMs();
    limits.compute(
        incarnation,
        (name, known) -> {
          if (known == null || known.limitPerS() != limitPerS) {
            Logger.info("upstream announces rate limit upstream={} limitPerS={}", name, limitPerS);
          }
          return known == null
              ? new AnnouncedLimit(limitPerS, nowMs, nowMs, new AtomicLong())
              : new AnnouncedLimit(limitPerS, known.sinceMs(), nowMs, known.sentCount());
        });
  }

  private void removeLimit(String incarnation) {
    AnnouncedLimit removed = limits.remove(incarnation);
    if (removed != null) {
      Logger.info(
          "upstream announces no rate limit any more upstream={} limitPerS={} forMs={} sent={}",
          incarnation,
          removed.limitPerS(),
          timers.nowMs() - removed.sinceMs(),
          removed.sentCount());
    }
  }

  private void broadcastLimit(RateLimitReport report, long minIntervalMs) {
    long nowMs = timers.nowMs();
    Long before = broadcastMs.get(report.incarnation());
    if (before == null || nowMs - before >= minIntervalMs) {
      broadcastMs.put(report.incarnation(), nowMs);
      broadcast(report);
    }
  }

  private void broadcast(RateLimitReport report) {
    if (rate.tryAcquire(timers.nowMs())) {
      sender.send(report, others.get());
    }
  }

  /**
   * Broadcasts the end of a limit twice, because an instance that misses it sends nothing to the
   * upstream until one instance probes it.
   */
  private void broadcastRemoval(String incarnation) {
    RateLimitReport removal = new RateLimitReport(incarnation, OptionalDouble.empty());
    broadcast(removal);
    timers.after(
        REPEAT_REMOVAL_MS,
        () -> {
          if (!limits.containsKey(incarnation)) {
            broadcast(removal);
          }
        });
  }

  @Override
  public Optional<RateLimit> find(RegisteredUpstream upstream) {
    return Optional.ofNullable(limits.get(upstream.incarnation()))
        .map(limit -> rateLimit(limit.limitPerS(), timers.nowMs() - limit.confirmedMs()));
  }

  private static RateLimit rateLimit(double limitPerS, long ageMs) {
    double maxRequests = limitPerS * WINDOW_MS / MS_PER_S;
    return maxRequests == 0 || maxRequests >= MIN_WINDOW_REQUESTS
        ? new RateLimit((int) maxRequests, WINDOW_MS, ageMs, WINDOW_MS)
        : new RateLimit(
            MIN_WINDOW_REQUESTS,
            (long) Math.ceil(MIN_WINDOW_REQUESTS * MS_PER_S / limitPerS),
            ageMs,
            WINDOW_MS);
  }

  @Override
  public long retryAfterMs(RegisteredUpstream upstream) {
    AnnouncedLimit limit = limits.get(upstream.incarnation());
    if (limit == null) {
      return MIN_RETRY_MS;
    }
    double intervalMs = MIN_WINDOW_REQUESTS * MS_PER_S / limit.limitPerS();
    return (long) Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, intervalMs));
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    AnnouncedLimit limit = limits.get(upstream.incarnation());
    if (limit != null) {
      limit.sentCount().incrementAndGet();
    }
  }

  /**
   * Returns the number of upstreams known to announce a limit.
   *
   * @return the number of upstreams
   */
  public int limitedCount() {
    return limits.size();
  }

  /**
   * Returns the number of requests sent by this instance to upstreams since they announced their
   * current limits.
   *
   * @return the number of requests
   */
  public long sentCount() {
    return limits.values().stream().mapToLong(limit -> limit.sentCount().get()).sum();
  }
}
