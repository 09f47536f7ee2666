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
 * Broadcasts upstreams that an instance has found terminated, replaced or unreachable.
 *
 * <p>The list shows a termination late, and not at all while it cannot be read. Without reports
 * each instance would detect each of these upstreams with a request of its own. A report costs one
 * datagram per other instance.
 *
 * <p>Reports only influence the selection, except for leaving. An upstream that was reported
 * wrongly is avoided for a time, then tried again, and is still selected if there is no other. One
 * that is leaving has announced it itself and gets no more requests.
 */
public final class UpstreamStatusBroadcast {

  /**
   * A replaced upstream never returns under its id, but stays in the list as long as the list
   * cannot be read, which may be a long outage of the store.
   */
  private static final long AVOID_REPLACED_MS = 60_000;

  /**
   * The same report is not repeated within this time, after which an upstream may have restarted.
   */
  private static final long REPORT_INTERVAL_MS = 2_000;

  /**
   * Maximum number of reports per second from one instance. More upstreams than that are detected
   * at a time only when a whole failure domain goes down, and then each instance detects some of
   * them.
   */
  private static final int MAX_REPORTS_PER_S = 20;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final UpstreamStatusReportSender sender;
  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final WarmUpListener warmUpListener;
  private final LeavingUpstreams leaving;
  private final Timers timers;
  private final Map<UpstreamStatusReport, Long> reportedMs = new ConcurrentHashMap<>();
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong receivedCount = new AtomicLong();
  private final ReportRateLimiter rate = new ReportRateLimiter(MAX_REPORTS_PER_S);

  /**
   * Creates the broadcast.
   *
   * @param self this instance
   * @param others the instances to report to
   * @param sender sends the reports
   * @param list the registered upstreams
   * @param loads the loads, through which upstreams are avoided
   * @param warmUpListener notified of upstreams that may be warming up
   * @param leaving records the upstreams that are leaving
   * @param timers the clock
   */
  public UpstreamStatusBroadcast(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      UpstreamStatusReportSender sender,
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      WarmUpListener warmUpListener,
      LeavingUpstreams leaving,
      Timers timers) {
    this.self = self;
    this.others = others;
    this.sender = sender;
    this.list = list;
    this.loads = loads;
    this.warmUpListener = warmUpListener;
    this.leaving = leaving;
    this.timers = timers;
    timers.every(REPORT_INTERVAL_MS, this::removeExpired);
  }

  /**
   * Called when this instance has detected the status of an upstream; reports it to the others.
   *
   * @param upstream the upstream
   * @param status the detected status
   */
  public void onDetected(RegisteredUpstream upstream, UpstreamStatus status) {
    apply(upstream, status);
    UpstreamStatusReport report = UpstreamStatusReport.of(upstream, status);
    if (recordIfNew(report) && rate.tryAcquire(timers.nowMs())) {
      sentCount.incrementAndGet();
      sender.send(report, recipients(status));
    }
  }

  /**
   * Called when a report of another instance arrives.
   *
   * @param report the report
   */
  public void onReport(UpstreamStatusReport report) {
    receivedCount.incrementAndGet();
    Optional<RegisteredUpstream> upstream =
        list.read().find(RegisteredUpstream.idOf(report.incarnation())).filter(report::isAbout);
    if (upstream.isEmpty() || !recordIfNew(report)) {
      return;
    }
    Logger.info(
        "upstream status reported by another instance upstream={} fate={}",
        report.incarnation(),
        report.status());
    boolean avoided = loads.of(report.incarnation()).isAvoided(timers.nowMs());
    if (!avoided || report.status().isFinal()) {
      apply(upstream.get(), report.status());
    }
  }

  private void apply(RegisteredUpstream upstream, UpstreamStatus status) {
    UpstreamLoad load = loads.of(upstream.incarnation());
    switch (status) {
      case LEAVING -> leaving.markLeaving(upstream);
      case REPLACED -> load.avoidFor(timers.nowMs(), AVOID_REPLACED_MS);
      case ENDED -> {
        load.onFailure(timers.nowMs());
        warmUpListener.onProcessEnded(upstream);
      }
      default -> load.onFailure(timers.nowMs());
    }
  }

  /** Instances in other failure domains may reach an upstream that is unreachable from here. */
  private List<InstanceRecord> recipients(UpstreamStatus status) {
    return status == UpstreamStatus.UNREACHABLE
        ? others.get().stream().filter(other -> other.domain().equals(self.domain())).toList()
        : others.get();
  }

  /** Records a report and checks that it was not sent or received recently. */
  private boolean recordIfNew(UpstreamStatusReport report) {
    Long before = reportedMs.put(report, timers.nowMs());
    return before == null || timers.nowMs() - before >= REPORT_INTERVAL_MS;
  }

  private void removeExpired() {
    long nowMs = timers.nowMs();
    reportedMs.values().removeIf(atMs -> nowMs - atMs >= REPORT_INTERVAL_MS);
  }

  /**
   * Returns the number of reports sent.
   *
   * @return reports since the start, each to all other instances
   */
  public long sentCount() {
    return sentCount.get();
  }

  /**
   * Returns the number of reports received.
   *
   * @return reports since the start
   */
  public long receivedCount() {
    return receivedCount.get();
  }
}
