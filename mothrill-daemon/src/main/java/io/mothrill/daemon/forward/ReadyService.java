package io.mothrill.daemon.forward;

import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.http.HttpService;
import io.mothrill.wire.operator.ReadinessResponse;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Serves the platform's readiness probe. */
final class ReadyService implements HttpService {

  private static final int NOT_FOUND = 404;

  private final String path;
  private final Supplier<String> unreadyReason;

  ReadyService(String path, Supplier<String> unreadyReason) {
    this.path = path;
    this.unreadyReason = unreadyReason;
  }

  @Override
  public CompletableFuture<HttpReply> serve(HttpServerRequest request) {
    return CompletableFuture.completedFuture(
        request.path().equals(path)
            ? ReadinessResponse.of(unreadyReason.get())
            : HttpReply.text(NOT_FOUND, "not found\n"));
  }
}
