package io.mothrill.wire.time;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Runs timers on an executor group of Netty's. */
public final class NettyTimers implements Timers {

  private static final long NANOS_PER_MS = 1_000_000;

  private final EventExecutorGroup executors;

  /**
   * Creates the timer service.
   *
   * @param executors where tasks run
   */
  public NettyTimers(EventExecutorGroup executors) {
    this.executors = executors;
  }

  @Override
  public long nowMs() {
    return toMs(System.nanoTime());
  }

  /**
   * Gives a moment by the clock of all these timers.
   *
   * @param nanos what {@link System#nanoTime()} gave then
   * @return milliseconds, comparable with {@link #nowMs()}
   */
  public static long toMs(long nanos) {
    return nanos / NANOS_PER_MS;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  public Subscription after(long delayMs, Runnable task) {
    Future<?> future =
        executors.schedule(
            () -> runLoggingErrors(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public Subscription every(long periodMs, Runnable task) {
    Future<?> future =
        executors.scheduleWithFixedDelay(
            () -> runLoggingErrors(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  /** A repeated task that throws would never run again. */
  private static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException ex) {
      Logger.error(ex, "timer task failed");
    }
  }
}
