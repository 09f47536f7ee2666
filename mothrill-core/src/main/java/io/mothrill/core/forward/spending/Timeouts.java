package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;

/** Waits of one request, each with an end. */
final class Timeouts {

  private final Timers timers;

  Timeouts(Timers timers) {
    this.timers = timers;
  }

  /** Completes as the event does, and with false if it has not by then. */
  CompletableFuture<Boolean> completeWithin(CompletableFuture<Boolean> event, long limitMs) {
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    event.thenAccept(wait::complete);
    timers.after(limitMs, () -> wait.complete(false));
    return wait;
  }

  /** Completes after a time. */
  CompletableFuture<Void> delay(long pauseMs) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    timers.after(pauseMs, () -> elapsed.complete(null));
    return elapsed;
  }
}
