package io.mothrill.core.work;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.function.LongSupplier;

/** A timer service that measures its tasks. */
public final class MeteredTimers implements Timers {

  private final Timers timers;
  private final WorkStats work;
  private final LongSupplier nanos;

  /**
   * Creates the service.
   *
   * @param timers runs the tasks
   * @param work records the time the tasks take
   * @param nanos a monotonic clock in nanoseconds
   */
  public MeteredTimers(Timers timers, WorkStats work, LongSupplier nanos) {
    this.timers = timers;
    this.work = work;
    this.nanos = nanos;
  }

  @Override
  public long nowMs() {
    return timers.nowMs();
  }

  @Override
  public long wallMs() {
    return timers.wallMs();
  }

  @Override
  public Subscription after(long delayMs, Runnable task) {
    return timers.after(delayMs, metered(task));
  }

  @Override
  public Subscription every(long periodMs, Runnable task) {
    return timers.every(periodMs, metered(task));
  }

  private Runnable metered(Runnable task) {
    return () -> {
      long startNanos = nanos.getAsLong();
      try {
        task.run();
      } finally {
        work.onTurn(WorkKind.TIMER, nanos.getAsLong() - startNanos);
      }
    };
  }
}
