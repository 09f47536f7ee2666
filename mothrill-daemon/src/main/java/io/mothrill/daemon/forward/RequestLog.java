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
 * <p>Failed, refused and late requests are logged with a high rate limit; successful ones are only sampled.
 */
final class RequestLog implements ForwardedRequestLog {

  private static final String SERVED = "served";

  /** The maximum lines per second about failed, refused or late requests; each takes a few hundred bytes. */
  private static final int FAILURE_LINES_PER_S = 100;

  /** The maximum lines per second about successful requests, which serve as samples for comparison. */
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
