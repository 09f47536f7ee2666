package io.mothrill.daemon.forward;

import io.mothrill.wire.http.HttpInput;
import io.mothrill.wire.http.HttpReply;
import io.mothrill.wire.http.HttpService;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Answers the platform's question whether this instance takes callers. */
final class ReadyService implements HttpService {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final String path;
  private final Supplier<String> unreadyReason;

  ReadyService(String path, Supplier<String> unreadyReason) {
    this.path = path;
    this.unreadyReason = unreadyReason;
  }

  @Override
  public CompletableFuture<HttpReply> serve(HttpInput input) {
    if (!input.path().equals(path)) {
      return CompletableFuture.completedFuture(HttpReply.text(NOT_FOUND, "not found\n"));
    }
    String reason = unreadyReason.get();
    return CompletableFuture.completedFuture(
        reason.isEmpty()
            ? HttpReply.text(OK, "ready\n")
            : HttpReply.text(UNAVAILABLE, reason + "\n"));
  }
}
