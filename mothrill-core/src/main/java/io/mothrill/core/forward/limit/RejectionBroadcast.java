package io.mothrill.core.forward.limit;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Tells other instances that the upstreams of a service are brittle.
 *
 * <p>An instance that does not know it sends to them without a lease. It knows from its own first
 * answer, but the first requests of all instances may be more than an upstream bears.
 */
final class RejectionBroadcast {

  /** One instance repeats what all others have been silent about for this time. */
  private static final long REPEAT_INTERVAL_MS = 300;

  private final Supplier<List<InstanceRecord>> others;
  private final RejectionReportSender sender;
  private final Timers timers;
  private final Map<String, Long> reportedMs = new ConcurrentHashMap<>();

  RejectionBroadcast(
      Supplier<List<InstanceRecord>> others, RejectionReportSender sender, Timers timers) {
    this.others = others;
    this.sender = sender;
    this.timers = timers;
  }

  /** Called when an upstream has announced that it is brittle. */
  void onAnnounced(RegisteredUpstream upstream, int maxPerS) {
    Long before = reportedMs.get(upstream.service());
    if (before == null || timers.nowMs() - before >= REPEAT_INTERVAL_MS) {
      onReported(upstream.service());
      sender.send(new RejectionReport(upstream.incarnation(), maxPerS), others.get());
    }
  }

  /** Called when any instance has reported that the upstreams of a service are brittle. */
  void onReported(String service) {
    reportedMs.put(service, timers.nowMs());
  }
}
