package io.mothrill.core.forward.spending;

import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;

/** Waits of one request, each with an end. */
final class Waits {

  private final Timers timers;

  Waits(Timers timers) {
    this.timers = timers;
  }

  /** Completes as the event does, and with false if it has not by then. */
  CompletableFuture<Boolean> within(CompletableFuture<Boolean> event, long limitMs) {
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    event.thenAccept(wait::complete);
    timers.after(limitMs, () -> wait.complete(false));
    return wait;
  }

  /** Completes after a time. */
  CompletableFuture<Void> pause(long pauseMs) {
    CompletableFuture<Void> over = new CompletableFuture<>();
    timers.after(pauseMs, () -> over.complete(null));
    return over;
  }
}
