package io.mothrill.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.wire.forward.ForwardLog;
import org.tinylog.Logger;

/** Counts how requests end and writes a line for each that was not served. */
final class StoryLog implements ForwardLog {

  private static final String SERVED = "served";

  private final MetricRegistry metrics;

  StoryLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  @Override
  public void onEnded(Story story) {
    metrics.counter("forward." + story.outcome()).inc();
    if (story.firstMs() >= 0) {
      metrics.histogram("forward.firstMs").update(story.firstMs());
    }
    if (!story.outcome().equals(SERVED)) {
      Logger.info(
          "request id={} route={} team={} outcome={} status={} upstreams={} detail=\"{}\""
              + " tookMs={} firstMs={} plan={}",
          story.requestId(),
          story.route(),
          story.team(),
          story.outcome(),
          story.status(),
          story.upstreams(),
          story.detail(),
          story.tookMs(),
          story.firstMs(),
          story.planVersion());
    }
  }
}
