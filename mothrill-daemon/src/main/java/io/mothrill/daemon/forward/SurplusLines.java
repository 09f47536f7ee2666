package io.mothrill.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.time.Timers;
import io.mothrill.daemon.log.LogFields;
import io.mothrill.daemon.log.LogRateLimiter;
import io.mothrill.wire.response.SurplusLog;
import java.util.Locale;
import org.tinylog.Logger;

/** Counts and logs what upstreams send beyond their responses. */
final class SurplusLines implements SurplusLog {

  private static final int LINES_PER_S = 10;

  private final MetricRegistry metrics;
  private final Timers timers;
  private final LogRateLimiter lines = new LogRateLimiter(LINES_PER_S);

  SurplusLines(MetricRegistry metrics, Timers timers) {
    this.metrics = metrics;
    this.timers = timers;
  }

  @Override
  public void onSurplus(Surplus surplus) {
    String place = surplus.place().name().toLowerCase(Locale.ROOT);
    metrics.counter("forward.surplus." + place).inc();
    if (lines.tryAcquire(timers.nowMs())) {
      Logger.warn(
          LogFields.event("surplus")
              .with("place", place)
              .with("bytes", surplus.byteCount())
              .with("upstream", surplus.connection().upstream())
              .with("connection", surplus.connection().number())
              .with("requests", surplus.connection().requestCount())
              .with("lastRequest", surplus.connection().lastRequestId())
              .with("detail", surplus.detail())
              .toString());
    }
  }
}
