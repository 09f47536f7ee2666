package io.mothrill.core.fake;

import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Lets calls through to a fake after a delay, or loses them, as the test asks. */
public final class FaultInjector {

  private final Timers timers;
  private volatile Fault fault = Fault.NONE;
  private volatile long delayMs;

  /**
   * Creates a way without faults.
   *
   * @param timers the time
   */
  public FaultInjector(Timers timers) {
    this.timers = timers;
  }

  /**
   * Chooses what happens to the calls from now on.
   *
   * @param next the fault
   */
  public void setFault(Fault next) {
    this.fault = next;
  }

  /**
   * Makes every answer late from now on.
   *
   * @param answerDelayMs milliseconds from the effect to the answer
   */
  public void setDelayMs(long answerDelayMs) {
    this.delayMs = answerDelayMs;
  }

  /**
   * Runs one call.
   *
   * @param name the call's name, for errors
   * @param effect what the call does
   * @param <T> the answer's type
   * @return the answer, or a {@link PlatformException}
   */
  public <T> CompletableFuture<T> call(String name, Supplier<T> effect) {
    Fault now = fault;
    if (now == Fault.DOWN) {
      return CompletableFuture.failedFuture(PlatformException.unreachable(name));
    }
    T answer = effect.get();
    CompletableFuture<T> result = new CompletableFuture<>();
    if (now == Fault.ANSWER_LOST) {
      result.completeExceptionally(PlatformException.answerLost(name));
    } else if (delayMs == 0) {
      result.complete(answer);
    } else {
      timers.after(delayMs, () -> result.complete(answer));
    }
    return result;
  }
}
