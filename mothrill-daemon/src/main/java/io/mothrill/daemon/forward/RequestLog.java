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
 * Counts how requests end and writes a line for each, with what decided about it.
 *
 * <p>Requests that failed, were refused or were late go first; of the others only some are written.
 */
final class RequestLog implements ForwardedRequestLog {

  private static final String SERVED = "served";

  /** Lines about trouble in a second; some hundred bytes each. */
  private static final int FAILURE_LINES_PER_S = 100;

  /** Lines about requests that went well in a second, as examples to compare with. */
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
  public void onEnded(Entry story) {
    metrics.counter("forward." + story.outcome()).inc();
    metrics.histogram("forward.paidMs").update(story.reservationMs());
    if (story.attempts().size() > 1) {
      metrics.counter("forward.offeredAgain").inc(story.attempts().size() - 1);
    }
    if (story.missedTarget()) {
      metrics.counter("forward.late").inc();
    }
    if (story.firstByteMs() >= 0) {
      metrics.histogram("forward.firstMs").update(story.firstByteMs());
    }
    boolean failedOrLate = !story.outcome().equals(SERVED) || story.missedTarget();
    LogRateLimiter limit = failedOrLate ? failureLines : servedLines;
    if (limit.tryAcquire(timers.nowMs())) {
      write(story);
    }
  }

  private static void write(Entry story) {
    Logger.info(
        LogFields.event("request")
            .with("id", story.requestId())
            .with("outcome", story.missedTarget() ? story.outcome() + "_late" : story.outcome())
            .with("status", story.status())
            .with("reason", story.reason())
            .with("route", story.route())
            .with("team", story.team())
            .with("offers", offers(story))
            .with("mostTokens", story.tokens().max())
            .with("owedTokens", story.tokens().charged())
            .with("paidMs", story.reservationMs())
            .with("firstMs", story.firstByteMs())
            .with("aimMs", story.targetLatencyMs())
            .with("tookMs", story.tookMs())
            .with("plan", story.planVersion())
            .with("fingerprint", story.fingerprint().map(Fingerprint::toString).orElse(""))
            .toString());
  }

  private static String offers(Entry story) {
    return story.attempts().stream()
        .map(
            offer ->
                offer.upstreamId()
                    + " at "
                    + offer.atMs()
                    + " ms, under way "
                    + offer.inFlightCount()
                    + " of "
                    + offer.estimatedCount()
                    + ", unread "
                    + offer.pendingPrefillTokens()
                    + ": "
                    + offer.result())
        .collect(Collectors.joining("; "));
  }
}
