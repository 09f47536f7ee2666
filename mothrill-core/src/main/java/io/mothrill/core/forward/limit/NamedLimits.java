package io.mothrill.core.forward.limit;

import io.mothrill.core.board.Section;
import io.mothrill.core.forward.permit.Allowance;
import io.mothrill.core.forward.permit.Allowances;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.peer.ReportRate;
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
 * Knows which upstreams name a limit in their answers, and what each takes by it.
 *
 * <p>Most instances send nothing to such an upstream and hear no more of it, so instances tell each
 * other when a limit begins, changes and ends, and now and then that it still holds.
 */
public final class NamedLimits implements Allowances {

  /** A limit holds in any span of this length. */
  private static final long SPAN_MS = 4_000;

  /** A limit that allows fewer requests in a span is kept over a longer one instead. */
  private static final int LEAST_MOST = 2;

  private static final double MS_PER_S = 1_000;

  /** That a limit still holds is told this often. */
  private static final long TELL_AGAIN_MS = 2_000;

  /** Changes of one limit are told no more often than this. */
  private static final long TELL_CHANGE_MS = 500;

  /** A report that allows more than what was heard meanwhile may be late by so much. */
  private static final long LATE_REPORT_MS = 2_000;

  /** By then, the first report of an end cannot be taken for a late one any more. */
  private static final long TELL_END_AGAIN_MS = LATE_REPORT_MS + TELL_CHANGE_MS;

  /** Reports of one instance in a second, each to all others. */
  private static final int MAX_REPORTS_PER_S = 20;

  private static final long LEAST_RETRY_MS = 250;

  /**
   * An entry of the list can lapse while the store is out of reach, and be back as it was before:
   * the limit is remembered for longer than such an outage.
   */
  private static final long KEPT_MS = 60_000;

  /** A limit may end at any time. */
  private static final long MAX_RETRY_MS = 4_000;

  private final Supplier<List<InstanceRecord>> others;
  private final LimitReports reports;
  private final Section<UpstreamList> list;
  private final Timers timers;
  private final ReportRate rate = new ReportRate(MAX_REPORTS_PER_S);
  private final Map<String, Named> named = new ConcurrentHashMap<>();
  private final Map<String, Long> toldMs = new ConcurrentHashMap<>();

  /**
   * One limit.
   *
   * @param limitPerS the requests a second that the upstream takes from all instances
   * @param sinceMs since when any limit of it is known
   * @param heardMs when it was heard last, from the upstream or from another instance
   * @param sentCount requests that the upstream got from here since
   */
  private record Named(double limitPerS, long sinceMs, long heardMs, AtomicLong sentCount) {}

  /**
   * Creates the limits; none is known at first.
   *
   * @param others the instances that are told
   * @param reports sends what they are told
   * @param list the registered upstreams
   * @param timers the time
   */
  public NamedLimits(
      Supplier<List<InstanceRecord>> others,
      LimitReports reports,
      Section<UpstreamList> list,
      Timers timers) {
    this.others = others;
    this.reports = reports;
    this.list = list;
    this.timers = timers;
    list.subscribe(this::retain);
  }

  private void retain(UpstreamList newest) {
    long nowMs = timers.nowMs();
    named
        .entrySet()
        .removeIf(
            entry ->
                newest.hasReplaced(entry.getKey())
                    || !newest.containsIncarnation(entry.getKey())
                        && nowMs - entry.getValue().heardMs() > KEPT_MS);
    toldMs.keySet().retainAll(named.keySet());
  }

  /**
   * Takes what an answer says.
   *
   * @param upstream the upstream that has answered
   * @param sentMs when the request was written that it answers
   * @param limitPerS the limit that it names; empty when it names none
   */
  public void onAnswer(ServingUpstream upstream, long sentMs, OptionalDouble limitPerS) {
    String incarnation = upstream.incarnation();
    Named before = named.get(incarnation);
    if (before == null && limitPerS.isEmpty() || isOlder(before, limitPerS, sentMs)) {
      return;
    }
    if (limitPerS.isEmpty()) {
      end(incarnation);
      tellEnd(incarnation);
      return;
    }
    boolean isNew = before == null || before.limitPerS() != limitPerS.getAsDouble();
    note(incarnation, limitPerS.getAsDouble());
    tellLimit(new LimitReport(incarnation, limitPerS), isNew ? TELL_CHANGE_MS : TELL_AGAIN_MS);
  }

  /**
   * Takes what another instance has heard.
   *
   * @param report its report
   */
  public void onHeard(LimitReport report) {
    Named before = named.get(report.incarnation());
    if (!list.read().containsIncarnation(report.incarnation())
        || isOlder(before, report.limitPerS(), timers.nowMs() - LATE_REPORT_MS)) {
      return;
    }
    report
        .limitPerS()
        .ifPresentOrElse(
            limitPerS -> note(report.incarnation(), limitPerS), () -> end(report.incarnation()));
  }

  /**
   * Says whether a word that allows more may be from before the one that is known. Answers and
   * reports overtake each other.
   */
  private static boolean isOlder(Named before, OptionalDouble limitPerS, long saidAfterMs) {
    return before != null
        && limitPerS.orElse(Double.MAX_VALUE) > before.limitPerS()
        && saidAfterMs <= before.heardMs();
  }

  private void note(String incarnation, double limitPerS) {
    long nowMs = timers.nowMs();
    named.compute(
        incarnation,
        (name, before) -> {
          if (before == null || before.limitPerS() != limitPerS) {
            Logger.info("upstream names limit upstream={} limitPerS={}", name, limitPerS);
          }
          return before == null
              ? new Named(limitPerS, nowMs, nowMs, new AtomicLong())
              : new Named(limitPerS, before.sinceMs(), nowMs, before.sentCount());
        });
  }

  private void end(String incarnation) {
    Named ended = named.remove(incarnation);
    if (ended != null) {
      Logger.info(
          "upstream names no limit any more upstream={} limitPerS={} forMs={} sent={}",
          incarnation,
          ended.limitPerS(),
          timers.nowMs() - ended.sinceMs(),
          ended.sentCount());
    }
  }

  private void tellLimit(LimitReport report, long pauseMs) {
    long nowMs = timers.nowMs();
    Long before = toldMs.get(report.incarnation());
    if (before == null || nowMs - before >= pauseMs) {
      toldMs.put(report.incarnation(), nowMs);
      tell(report);
    }
  }

  private void tell(LimitReport report) {
    if (rate.tryReport(timers.nowMs())) {
      reports.send(report, others.get());
    }
  }

  /** Tells twice, as whoever misses it leaves the upstream alone until somebody asks it. */
  private void tellEnd(String incarnation) {
    LimitReport ended = new LimitReport(incarnation, OptionalDouble.empty());
    tell(ended);
    timers.after(
        TELL_END_AGAIN_MS,
        () -> {
          if (!named.containsKey(incarnation)) {
            tell(ended);
          }
        });
  }

  @Override
  public Optional<Allowance> of(ServingUpstream upstream) {
    return Optional.ofNullable(named.get(upstream.incarnation()))
        .map(limit -> allowance(limit.limitPerS(), timers.nowMs() - limit.heardMs()));
  }

  private static Allowance allowance(double limitPerS, long ageMs) {
    double most = limitPerS * SPAN_MS / MS_PER_S;
    return most == 0 || most >= LEAST_MOST
        ? new Allowance((int) most, SPAN_MS, ageMs, SPAN_MS)
        : new Allowance(
            LEAST_MOST, (long) Math.ceil(LEAST_MOST * MS_PER_S / limitPerS), ageMs, SPAN_MS);
  }

  @Override
  public long retryAfterMs(ServingUpstream upstream) {
    Named limit = named.get(upstream.incarnation());
    if (limit == null) {
      return LEAST_RETRY_MS;
    }
    double pauseMs = LEAST_MOST * MS_PER_S / limit.limitPerS();
    return (long) Math.max(LEAST_RETRY_MS, Math.min(MAX_RETRY_MS, pauseMs));
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(ServingUpstream upstream) {
    Named limit = named.get(upstream.incarnation());
    if (limit != null) {
      limit.sentCount().incrementAndGet();
    }
  }

  /**
   * Counts the upstreams that name a limit, as far as this instance knows.
   *
   * @return a count
   */
  public int limitedCount() {
    return named.size();
  }

  /**
   * Counts what upstreams that name a limit got from here since they named it.
   *
   * @return requests
   */
  public long sentCount() {
    return named.values().stream().mapToLong(limit -> limit.sentCount().get()).sum();
  }
}
