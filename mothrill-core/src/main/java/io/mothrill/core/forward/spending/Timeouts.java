package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;

/** Creates bounded waits for requests. */
final class Timeouts {

  private final Timers timers;

  Timeouts(Timers timers) {
    this.timers = timers;
  }

  /** Returns a future that completes with the event's result, or with false after the limit. */
  CompletableFuture<Boolean> completeWithin(CompletableFuture<Boolean> event, long limitMs) {
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    event.thenAccept(wait::complete);
    timers.after(limitMs, () -> wait.complete(false));
    return wait;
  }

  /** Returns a future that completes after a delay. */
  CompletableFuture<Void> delay(long delayMs) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    timers.after(delayMs, () -> elapsed.complete(null));
    return elapsed;
  }
}
