package io.mothrill.core.fake;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service whose clock is advanced by the test.
 *
 * <pre>{@code
 * ManualTimers timers = new ManualTimers();
 * timers.after(500, () -> fired.set(true));
 * timers.advanceMs(500);
 * }</pre>
 */
public final class ManualTimers implements Timers {

  private static final long WALL_ORIGIN_MS = 1_700_000_000_000L;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong((Task task) -> task.dueMs)
              .thenComparingLong(task -> task.order));
  private long nowMs;
  private long nextOrder;

  @Override
  public synchronized long nowMs() {
    return nowMs;
  }

  @Override
  public synchronized long wallMs() {
    return WALL_ORIGIN_MS + nowMs;
  }

  @Override
  public Subscription after(long delayMs, Runnable task) {
    return add(delayMs, 0, task);
  }

  @Override
  public Subscription every(long periodMs, Runnable task) {
    return add(periodMs, periodMs, task);
  }

  /**
   * Advances the clock and runs every task that becomes due, ordered by due time.
   *
   * @param durationMs how far to advance
   */
  public void advanceMs(long durationMs) {
    long endMs = nowMs() + durationMs;
    for (Task task = takeDue(endMs); task != null; task = takeDue(endMs)) {
      task.runnable.run();
    }
    synchronized (this) {
      nowMs = endMs;
    }
  }

  private synchronized Subscription add(long delayMs, long periodMs, Runnable runnable) {
    Task task = new Task(runnable, periodMs);
    task.dueMs = nowMs + Math.max(0, delayMs);
    task.order = nextOrder++;
    tasks.add(task);
    return () -> cancel(task);
  }

  private synchronized void cancel(Task task) {
    task.cancelled = true;
    tasks.remove(task);
  }

  private synchronized Task takeDue(long endMs) {
    Task task = tasks.peek();
    if (task == null || task.dueMs > endMs) {
      return null;
    }
    tasks.remove();
    nowMs = Math.max(nowMs, task.dueMs);
    if (task.periodMs > 0 && !task.cancelled) {
      task.dueMs = nowMs + task.periodMs;
      task.order = nextOrder++;
      tasks.add(task);
    }
    return task;
  }

  private static final class Task {
    private final Runnable runnable;
    private final long periodMs;
    private long dueMs;
    private long order;
    private boolean cancelled;

    Task(Runnable runnable, long periodMs) {
      this.runnable = runnable;
      this.periodMs = periodMs;
    }
  }
}
