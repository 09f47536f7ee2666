package io.mothrill.core.forward.limit;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.peer.ReportRateLimiter;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Tells other instances what brittle upstreams answer.
 *
 * <p>Where there are fewer rejections than instances, most instances hear from such an upstream too
 * rarely to know whether it is full.
 */
final class RejectionBroadcast {

  /** Shorter than the window of rejections, in which the others must not send. */
  private static final long TURNED_AWAY_INTERVAL_MS = 100;

  /** As long as a report counts as recent. */
  private static final long ROOM_INTERVAL_MS = 500;

  /** Maximum number of reports per second from one instance, each to all others. */
  private static final int MAX_REPORTS_PER_S = 20;

  private final Supplier<List<InstanceRecord>> others;
  private final RejectionReportSender sender;
  private final Timers timers;
  private final ReportRateLimiter rate = new ReportRateLimiter(MAX_REPORTS_PER_S);
  private final Map<String, Long> turnedAwaySentMs = new ConcurrentHashMap<>();
  private final Map<String, Long> roomSentMs = new ConcurrentHashMap<>();

  RejectionBroadcast(
      Supplier<List<InstanceRecord>> others, RejectionReportSender sender, Timers timers) {
    this.others = others;
    this.sender = sender;
    this.timers = timers;
  }

  /** Called when a brittle upstream has turned a request away. */
  void onTurnedAway(RegisteredUpstream upstream, int maxPerS) {
    send(
        new RejectionReport(upstream.incarnation(), maxPerS, true, OptionalInt.empty()),
        turnedAwaySentMs,
        TURNED_AWAY_INTERVAL_MS);
  }

  /** Called when a brittle upstream has room. */
  void onRoom(RegisteredUpstream upstream, int maxPerS, int requestCount) {
    send(
        new RejectionReport(upstream.incarnation(), maxPerS, false, OptionalInt.of(requestCount)),
        roomSentMs,
        ROOM_INTERVAL_MS);
  }

  private void send(RejectionReport report, Map<String, Long> sentMs, long intervalMs) {
    long nowMs = timers.nowMs();
    Long before = sentMs.get(report.incarnation());
    boolean isNeeded = others.get().size() >= report.maxPerS();
    boolean isDue = before == null || nowMs - before >= intervalMs;
    if (isNeeded && isDue && rate.tryAcquire(nowMs)) {
      sentMs.put(report.incarnation(), nowMs);
      sender.send(report, others.get());
    }
  }

  /** Forgets upstreams that are not in a list any more. */
  void retain(Predicate<String> isListed) {
    turnedAwaySentMs.keySet().removeIf(isListed.negate());
    roomSentMs.keySet().removeIf(isListed.negate());
  }
}
