package io.mothrill.wire.forward;

import io.mothrill.core.time.Subscription;
import java.util.concurrent.CompletableFuture;

/** Holds requests of a newly started process until the first plan and upstream list are loaded. */
final class InitialStateWait {

  /**
   * Maximum time for which a request is held. Loading takes a few responses of the store, whereas a
   * refused caller retries after half a second at the earliest.
   */
  private static final long MAX_WAIT_MS = 400;

  private InitialStateWait() {}

  /** Runs a step once the state is loaded or the time is over. */
  static void run(ForwardDependencies dependencies, Runnable step) {
    if (dependencies.initialStateLoaded().isDone()) {
      step.run();
      return;
    }
    CompletableFuture<Void> ready = new CompletableFuture<>();
    Subscription timeout = dependencies.timers().after(MAX_WAIT_MS, () -> ready.complete(null));
    dependencies.initialStateLoaded().thenRun(() -> ready.complete(null));
    ready.thenRun(timeout::cancel).thenRun(step);
  }
}
