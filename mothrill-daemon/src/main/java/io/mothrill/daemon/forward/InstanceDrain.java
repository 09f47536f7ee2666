package io.mothrill.daemon.forward;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import io.mothrill.wire.forward.ForwardServer;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Drains an instance: new requests are served until callers have been routed elsewhere, and refused
 * afterwards. Requests in flight continue until they end or the drain timeout expires; those left
 * then are answered before unspent tokens are handed back.
 */
final class InstanceDrain {

  /**
   * Longer than two failed readiness probes at one per second, after which callers are routed
   * elsewhere.
   */
  private static final long MIN_DRAIN_MS = 2_600;

  private static final long CHECK_INTERVAL_MS = 100;

  /** The time limit for the last answers and for returning unspent tokens. */
  private static final long FINISH_TIMEOUT_MS = 300;

  private final ForwardServer edge;
  private final BooleanSupplier isIdle;
  private final Supplier<CompletableFuture<Boolean>> handBack;
  private final long timeoutMs;
  private final Timers timers;
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private final CompletableFuture<Void> future = new CompletableFuture<>();

  InstanceDrain(
      ForwardServer edge,
      BooleanSupplier isIdle,
      Supplier<CompletableFuture<Boolean>> handBack,
      long timeoutMs,
      Timers timers) {
    this.edge = edge;
    this.isIdle = isIdle;
    this.handBack = handBack;
    this.timeoutMs = timeoutMs;
    this.timers = timers;
  }

  /** Returns a future that completes when the process may exit. */
  CompletableFuture<Void> future() {
    return future;
  }

  void start() {
    Logger.info("leaving underWay={}", edge.inFlightCount());
    long startMs = timers.nowMs();
    edge.startDraining(startMs + timeoutMs);
    Subscription refusal = timers.after(MIN_DRAIN_MS, this::refuseNew);
    Subscription timeout = timers.after(timeoutMs, () -> idle.complete(null));
    idle.thenRun(
        () -> {
          refusal.cancel();
          timeout.cancel();
          finish(timers.nowMs() - startMs);
        });
  }

  /** A request that was taken just before is in flight at the first check. */
  private void refuseNew() {
    edge.refuseNew();
    Subscription check =
        timers.every(
            CHECK_INTERVAL_MS,
            () -> {
              if (isIdle.getAsBoolean()) {
                idle.complete(null);
              }
            });
    idle.thenRun(check::cancel);
  }

  private void finish(long tookMs) {
    Logger.info("drained underWay={} tookMs={}", edge.inFlightCount(), tookMs);
    timers.after(FINISH_TIMEOUT_MS, () -> future.complete(null));
    edge.endRequests()
        .thenCompose(answered -> handBack.get())
        .whenComplete((returned, error) -> future.complete(null));
  }
}
