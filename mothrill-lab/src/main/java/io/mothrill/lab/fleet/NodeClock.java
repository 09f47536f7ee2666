package io.mothrill.lab.fleet;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One process's view of time: it can be frozen, and it ends with the process.
 *
 * <p>While a process is frozen its clock goes on, but nothing of it runs; what fell due runs when
 * it wakes up, as with a process that was stopped or a machine that was suspended.
 */
final class NodeClock implements Timers {

  private final ManualTimers timers;
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private boolean frozen;
  private boolean dead;

  NodeClock(ManualTimers timers) {
    this.timers = timers;
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
    return timers.after(delayMs, () -> run(task));
  }

  @Override
  public Subscription every(long periodMs, Runnable task) {
    return timers.every(periodMs, () -> runPeriodic(task));
  }

  /** Runs something inside the process: at once, when it wakes up, or never. */
  void run(Runnable task) {
    if (dead) {
      return;
    }
    if (frozen) {
      deferred.add(task);
    } else {
      task.run();
    }
  }

  private void runPeriodic(Runnable task) {
    if (!dead && !frozen) {
      task.run();
    }
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    frozen = false;
    while (!frozen && !deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  void kill() {
    dead = true;
    deferred.clear();
  }

  boolean isDead() {
    return dead;
  }
}
