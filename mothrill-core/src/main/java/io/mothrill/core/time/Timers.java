package io.mothrill.core.time;

/**
 * The source of time and scheduler of the library.
 *
 * <p>The library never reads a system clock directly, so tests can control the time:
 *
 * <pre>{@code
 * Subscription heartbeat = timers.every(1_000, this::sendHeartbeat);
 * heartbeat.cancel();
 * }</pre>
 */
public interface Timers {

  /**
   * Returns the monotonic time, which is used for leases and timeouts.
   *
   * @return milliseconds since an arbitrary origin; never decreases
   */
  long nowMs();

  /**
   * Returns the wall-clock time, which is used only for values stored in the platform's table.
   *
   * @return milliseconds since the epoch
   */
  long wallMs();

  /**
   * Runs a task once.
   *
   * @param delayMs the delay in milliseconds; 0 for as soon as possible
   * @param task the task; must not block
   * @return a handle that cancels the task if it has not run yet
   */
  Subscription after(long delayMs, Runnable task);

  /**
   * Runs a task periodically, the first time after one period.
   *
   * @param periodMs the period in milliseconds, at least 1
   * @param task the task; must not block
   * @return a handle that cancels the task
   */
  Subscription every(long periodMs, Runnable task);
}
