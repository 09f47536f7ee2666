package io.mothrill.core.time;

/**
 * The timer service that parts subscribe to.
 *
 * <p>Parts of the library never read a clock themselves, so that a test can own the time:
 *
 * <pre>{@code
 * Subscription heartbeat = timers.every(1_000, this::sendHeartbeat);
 * heartbeat.cancel();
 * }</pre>
 */
public interface Timers {

  /**
   * Reads the monotonic clock, which leases and timeouts are measured with.
   *
   * @return milliseconds since an arbitrary origin; never goes back
   */
  long nowMs();

  /**
   * Reads the wall clock, which is only for values that are kept in the platform's table.
   *
   * @return milliseconds since the epoch
   */
  long wallMs();

  /**
   * Runs a task once.
   *
   * @param delayMs milliseconds from now, 0 for as soon as possible
   * @param task what to run; must not block
   * @return a handle that cancels the task while it has not run
   */
  Subscription after(long delayMs, Runnable task);

  /**
   * Runs a task again and again, the first time after one period.
   *
   * @param periodMs milliseconds between two runs, at least 1
   * @param task what to run; must not block
   * @return a handle that stops the repetition
   */
  Subscription every(long periodMs, Runnable task);
}
