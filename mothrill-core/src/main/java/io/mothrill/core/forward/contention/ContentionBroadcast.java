package io.mothrill.core.forward.contention;

import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.peer.NoticeRecipients;
import io.mothrill.core.peer.ReportRateLimiter;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Decides which reports about slow upstreams are sent to other instances.
 *
 * <p>An instance of the largest fleet hears of hundreds of upstreams, and handling one notice takes
 * tens of microseconds. So reports that tell the others little new are not sent.
 */
public final class ContentionBroadcast {

  /** Minimum interval between reports about one upstream, including those of other instances. */
  private static final long MIN_INTERVAL_MS = 100;

  /** Datagrams per second from one instance to all recipients: a few percent of a processor. */
  private static final int MAX_DATAGRAMS_PER_S = 2_000;

  /**
   * Part of a reported wait after which the report may be repeated. No instance uses the upstream
   * again before half of the wait is over.
   */
  private static final double REPEAT_SHARE = 0.25;

  /** Interval at which numbers of requests are repeated; they are forgotten within 1.5 s. */
  private static final long REPEAT_COUNTS_MS = 250;

  /** Longest interval between repeated reports, for recipients that have missed one. */
  private static final long MAX_REPEAT_MS = 500;

  /** A longer wait than the reported one by this factor is reported without delay. */
  private static final double NEWS_FACTOR = 2;

  /** Time without reports after which an upstream that becomes slow is logged again. */
  private static final long LOG_INTERVAL_MS = 5_000;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final ContentionReportSender sender;
  private final Timers timers;
  private final ReportRateLimiter rate = new ReportRateLimiter(MAX_DATAGRAMS_PER_S);
  private final Map<String, LastReport> lastReports = new ConcurrentHashMap<>();
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong droppedCount = new AtomicLong();

  /** The last report about an upstream, sent or received. */
  private record LastReport(long waitMs, long atMs) {

    boolean isOutdatedBy(ContentionReport report, long nowMs) {
      long ageMs = nowMs - atMs;
      return ageMs >= repeatMs()
          || (ageMs >= MIN_INTERVAL_MS && report.waitMs() > NEWS_FACTOR * waitMs);
    }

    private long repeatMs() {
      return waitMs == 0
          ? REPEAT_COUNTS_MS
          : Math.max(MIN_INTERVAL_MS, Math.min(MAX_REPEAT_MS, (long) (REPEAT_SHARE * waitMs)));
    }
  }

  /**
   * Creates the broadcast.
   *
   * @param self this instance
   * @param others the other instances
   * @param sender sends the reports
   * @param timers the clock
   */
  public ContentionBroadcast(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      ContentionReportSender sender,
      Timers timers) {
    this.self = self;
    this.others = others;
    this.sender = sender;
    this.timers = timers;
  }

  /** Sends a report unless it tells little new or the maximum rate is reached. */
  void offer(ContentionReport report) {
    long nowMs = timers.nowMs();
    if (!isNews(report, nowMs)) {
      return;
    }
    List<InstanceRecord> recipients = NoticeRecipients.select(others.get(), self.host());
    if (!recipients.isEmpty() && tryClaim(report, recipients.size(), nowMs)) {
      sentCount.incrementAndGet();
      sender.send(report, recipients);
    }
  }

  private boolean isNews(ContentionReport report, long nowMs) {
    LastReport last = lastReports.get(report.incarnation());
    return last == null || last.isOutdatedBy(report, nowMs);
  }

  private synchronized boolean tryClaim(ContentionReport report, int recipientCount, long nowMs) {
    if (!isNews(report, nowMs)) {
      return false;
    }
    if (!rate.tryAcquire(nowMs, recipientCount)) {
      droppedCount.incrementAndGet();
      return false;
    }
    LastReport last = lastReports.put(report.incarnation(), new LastReport(report.waitMs(), nowMs));
    if (last == null || nowMs - last.atMs() >= LOG_INTERVAL_MS) {
      Logger.info(
          "upstream slow upstream={} waitMs={} slowdown={} running={} queued={}",
          report.incarnation(),
          report.waitMs(),
          report.slowdown().orElse(1),
          report.running().orElse(-1),
          report.queued().orElse(-1));
    }
    return true;
  }

  /** Called when another instance has reported about an upstream. */
  synchronized void onReceived(ContentionReport report) {
    lastReports.put(report.incarnation(), new LastReport(report.waitMs(), timers.nowMs()));
  }

  /** Removes upstreams that are no longer registered. */
  void retain(UpstreamList list) {
    lastReports.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }

  /** Returns the number of reports sent, each to all recipients. */
  long sentCount() {
    return sentCount.get();
  }

  /** Returns the number of reports that were not sent because of the maximum rate. */
  long droppedCount() {
    return droppedCount.get();
  }
}
