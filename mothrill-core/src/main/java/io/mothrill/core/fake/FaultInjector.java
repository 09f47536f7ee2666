package io.mothrill.core.fake;

import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Injects faults into the calls to a fake: outages, lost responses and delays. */
public final class FaultInjector {

  private final Timers timers;
  private volatile Fault fault = Fault.NONE;
  private volatile long delayMs;

  /**
   * Creates an injector without faults.
   *
   * @param timers the timer service
   */
  public FaultInjector(Timers timers) {
    this.timers = timers;
  }

  /**
   * Sets how subsequent calls are handled.
   *
   * @param next the fault
   */
  public void setFault(Fault next) {
    this.fault = next;
  }

  /**
   * Delays all subsequent responses.
   *
   * @param responseDelayMs milliseconds between effect and response
   */
  public void setDelayMs(long responseDelayMs) {
    this.delayMs = responseDelayMs;
  }

  /**
   * Runs one call.
   *
   * @param name the name of the call, for error messages
   * @param effect performs the call
   * @param <T> the result type
   * @return the result, or a {@link PlatformException}
   */
  public <T> CompletableFuture<T> call(String name, Supplier<T> effect) {
    Fault now = fault;
    if (now == Fault.DOWN) {
      return CompletableFuture.failedFuture(PlatformException.unreachable(name));
    }
    T value = effect.get();
    CompletableFuture<T> result = new CompletableFuture<>();
    if (now == Fault.ANSWER_LOST) {
      result.completeExceptionally(PlatformException.responseLost(name));
    } else if (delayMs == 0) {
      result.complete(value);
    } else {
      timers.after(delayMs, () -> result.complete(value));
    }
    return result;
  }
}
