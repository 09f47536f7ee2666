package io.mothrill.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.time.Timers;
import io.mothrill.daemon.log.LogFields;
import io.mothrill.daemon.log.LogRateLimiter;
import io.mothrill.wire.forward.ForwardedRequestLog;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * Counts the outcomes of requests and logs how they were decided.
 *
 * <p>Failed, refused and late requests are logged with a high rate limit; successful ones are only
 * sampled.
 */
final class RequestLog implements ForwardedRequestLog {

  private static final String SERVED = "served";

  /**
   * The maximum lines per second about failed, refused or late requests; each takes a few hundred
   * bytes.
   */
  private static final int FAILURE_LINES_PER_S = 100;

  /**
   * The maximum lines per second about successful requests, which serve as samples for comparison.
   */
  private static final int SERVED_LINES_PER_S = 2;

  private final MetricRegistry metrics;
  private final Timers timers;
  private final LogRateLimiter failureLines = new LogRateLimiter(FAILURE_LINES_PER_S);
  private final LogRateLimiter servedLines = new LogRateLimiter(SERVED_LINES_PER_S);

  RequestLog(MetricRegistry metrics, Timers timers) {
    this.metrics = metrics;
    this.timers = timers;
  }

  @Override
  public void onEnded(Entry entry) {
    metrics.counter("forward." + entry.outcome()).inc();
    metrics.histogram("forward.paidMs").update(entry.reservationMs());
    if (entry.attempts().size() > 1) {
      metrics.counter("forward.offeredAgain").inc(entry.attempts().size() - 1);
    }
    if (entry.missedTarget()) {
      metrics.counter("forward.late").inc();
    }
    if (entry.firstByteMs() >= 0) {
      metrics.histogram("forward.firstMs").update(entry.firstByteMs());
    }
    boolean failedOrLate = !entry.outcome().equals(SERVED) || entry.missedTarget();
    LogRateLimiter limit = failedOrLate ? failureLines : servedLines;
    if (limit.tryAcquire(timers.nowMs())) {
      write(entry);
    }
  }

  private static void write(Entry entry) {
    Logger.info(
        LogFields.event("request")
            .with("id", entry.requestId())
            .with("outcome", entry.missedTarget() ? entry.outcome() + "_late" : entry.outcome())
            .with("status", entry.status())
            .with("reason", entry.reason())
            .with("route", entry.route())
            .with("team", entry.team())
            .with("offers", attempts(entry))
            .with("mostTokens", entry.tokens().max())
            .with("owedTokens", entry.tokens().charged())
            .with("paidMs", entry.reservationMs())
            .with("firstMs", entry.firstByteMs())
            .with("aimMs", entry.targetLatencyMs())
            .with("tookMs", entry.tookMs())
            .with("plan", entry.planVersion())
            .with("fingerprint", entry.fingerprint().map(Fingerprint::toString).orElse(""))
            .toString());
  }

  private static String attempts(Entry entry) {
    return entry.attempts().stream()
        .map(
            attempt ->
                attempt.upstreamId()
                    + " at "
                    + attempt.atMs()
                    + " ms, under way "
                    + attempt.inFlightCount()
                    + " of "
                    + attempt.estimatedCount()
                    + ", unread "
                    + attempt.pendingPrefillTokens()
                    + ": "
                    + attempt.result())
        .collect(Collectors.joining("; "));
  }
}
