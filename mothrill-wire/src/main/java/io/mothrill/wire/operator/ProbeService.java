package io.mothrill.wire.operator;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.http.HttpService;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Serves the platform's probes: {@code /livez}, {@code /readyz} and {@code /metrics}. */
public final class ProbeService implements HttpService {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final Supplier<String> unreadyReason;
  private final MetricRegistry metrics;

  /**
   * Creates the service.
   *
   * @param unreadyReason returns why the instance accepts no requests, or an empty string when it
   *     is ready
   * @param metrics the exposed metrics
   */
  public ProbeService(Supplier<String> unreadyReason, MetricRegistry metrics) {
    this.unreadyReason = unreadyReason;
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<HttpReply> serve(HttpServerRequest request) {
    return CompletableFuture.completedFuture(
        switch (request.path()) {
          case "/livez" -> HttpReply.text(OK, "ok\n");
          case "/readyz" -> ReadinessResponse.of(unreadyReason.get());
          case "/metrics" -> HttpReply.text(OK, MetricsPage.render(metrics));
          default -> HttpReply.text(NOT_FOUND, "not found\n");
        });
  }
}
