package io.mothrill.wire.time;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** A timer service on a Netty executor group. */
public final class NettyTimers implements Timers {

  private static final long NANOS_PER_MS = 1_000_000;

  private final EventExecutorGroup executors;

  /**
   * Creates the timer service.
   *
   * @param executors runs the tasks
   */
  public NettyTimers(EventExecutorGroup executors) {
    this.executors = executors;
  }

  @Override
  public long nowMs() {
    return toMs(System.nanoTime());
  }

  /**
   * Converts a {@link System#nanoTime()} value to the clock of {@link #nowMs()}.
   *
   * @param nanos a value of {@link System#nanoTime()}
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

  /** Logs exceptions, because the executor would stop a periodic task that throws. */
  private static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException ex) {
      Logger.error(ex, "timer task failed");
    }
  }
}
