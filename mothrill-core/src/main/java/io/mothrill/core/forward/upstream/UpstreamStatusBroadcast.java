package io.mothrill.core.forward.upstream;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.ReportRateLimiter;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Lets instances know of upstreams that others have found ended, replaced or out of reach.
 *
 * <p>The list shows an end late, and not at all while it cannot be read. Without reports each
 * instance would find each of these upstreams by a request of its own. A report costs a datagram
 * for each other instance.
 *
 * <p>What is heard only steers the choice, but for a leave. An upstream that was reported wrongly
 * is avoided for a time and tried again, and is still taken where there is no other. One that
 * leaves has said so itself, and gets nothing more.
 */
public final class UpstreamStatusBroadcast {

  /**
   * A replaced upstream never comes back under its name, but stays in the list for as long as the
   * list cannot be read, which may be a long outage of the store.
   */
  private static final long AVOID_REPLACED_MS = 60_000;

  /** The same is not told again for this time, by which an upstream may have started again. */
  private static final long REPORT_INTERVAL_MS = 2_000;

  /**
   * Reports that one instance sends in a second. More upstreams than that are found at a time only
   * when a whole domain ends, and then each instance finds some of them.
   */
  private static final int MAX_REPORTS_PER_S = 20;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final UpstreamStatusReportSender sender;
  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final WarmUpListener warmUps;
  private final LeavingUpstreams leaving;
  private final Timers timers;
  private final Map<UpstreamStatusReport, Long> reportedMs = new ConcurrentHashMap<>();
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong receivedCount = new AtomicLong();
  private final ReportRateLimiter rate = new ReportRateLimiter(MAX_REPORTS_PER_S);

  /**
   * Creates the news.
   *
   * @param self this instance
   * @param others the instances that are told
   * @param reports sends what they are told
   * @param list the registered upstreams
   * @param loads the loads by which upstreams are avoided
   * @param warmUps gets what shows that an upstream warms up
   * @param leaving gets the upstreams that leave
   * @param timers the time
   */
  public UpstreamStatusBroadcast(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      UpstreamStatusReportSender reports,
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      WarmUpListener warmUps,
      LeavingUpstreams leaving,
      Timers timers) {
    this.self = self;
    this.others = others;
    this.sender = reports;
    this.list = list;
    this.loads = loads;
    this.warmUps = warmUps;
    this.leaving = leaving;
    this.timers = timers;
    timers.every(REPORT_INTERVAL_MS, this::removeExpired);
  }

  /**
   * Notes what this instance has found out itself, and tells the others.
   *
   * @param upstream the upstream
   * @param fate what was found out
   */
  public void onDetected(RegisteredUpstream upstream, UpstreamStatus fate) {
    apply(upstream, fate);
    UpstreamStatusReport report = UpstreamStatusReport.of(upstream, fate);
    if (recordIfNew(report) && rate.tryAcquire(timers.nowMs())) {
      sentCount.incrementAndGet();
      sender.send(report, recipients(fate));
    }
  }

  /**
   * Takes what another instance has found out.
   *
   * @param report its report
   */
  public void onReport(UpstreamStatusReport report) {
    receivedCount.incrementAndGet();
    Optional<RegisteredUpstream> upstream =
        list.read().find(RegisteredUpstream.idOf(report.incarnation())).filter(report::isAbout);
    if (upstream.isEmpty() || !recordIfNew(report)) {
      return;
    }
    Logger.info("upstream reported upstream={} fate={}", report.incarnation(), report.status());
    boolean avoided = loads.of(report.incarnation()).isAvoided(timers.nowMs());
    if (!avoided || report.status().isFinal()) {
      apply(upstream.get(), report.status());
    }
  }

  private void apply(RegisteredUpstream upstream, UpstreamStatus fate) {
    UpstreamLoad load = loads.of(upstream.incarnation());
    switch (fate) {
      case LEAVING -> leaving.markLeaving(upstream);
      case REPLACED -> load.avoidFor(timers.nowMs(), AVOID_REPLACED_MS);
      case ENDED -> {
        load.onFailure(timers.nowMs());
        warmUps.onProcessEnded(upstream);
      }
      default -> load.onFailure(timers.nowMs());
    }
  }

  /** Whoever is in another domain may reach an upstream that is out of reach from here. */
  private List<InstanceRecord> recipients(UpstreamStatus fate) {
    return fate == UpstreamStatus.UNREACHABLE
        ? others.get().stream().filter(other -> other.domain().equals(self.domain())).toList()
        : others.get();
  }

  /** Says whether this is news, and not what was told or heard just now. */
  private boolean recordIfNew(UpstreamStatusReport report) {
    Long before = reportedMs.put(report, timers.nowMs());
    return before == null || timers.nowMs() - before >= REPORT_INTERVAL_MS;
  }

  private void removeExpired() {
    long nowMs = timers.nowMs();
    reportedMs.values().removeIf(atMs -> nowMs - atMs >= REPORT_INTERVAL_MS);
  }

  /**
   * Counts what was told.
   *
   * @return reports since the start, each to all others
   */
  public long sentCount() {
    return sentCount.get();
  }

  /**
   * Counts what was heard.
   *
   * @return reports since the start
   */
  public long receivedCount() {
    return receivedCount.get();
  }
}
