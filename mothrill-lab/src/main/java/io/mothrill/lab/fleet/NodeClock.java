package io.mothrill.lab.fleet;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The clock and timers of one simulated process, which can be suspended and killed.
 *
 * <p>While a process is suspended, its clock advances but its tasks do not run. One-time tasks that
 * became due meanwhile run on resume, as after SIGSTOP or the suspension of a machine; periodic
 * tasks skip these runs.
 */
final class NodeClock implements Timers {

  private final ManualTimers timers;
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private boolean suspended;
  private boolean killed;

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

  /** Runs a task in the process: immediately, on resume when suspended, or never when killed. */
  void run(Runnable task) {
    if (killed) {
      return;
    }
    if (suspended) {
      deferred.add(task);
    } else {
      task.run();
    }
  }

  private void runPeriodic(Runnable task) {
    if (!killed && !suspended) {
      task.run();
    }
  }

  void suspend() {
    suspended = true;
  }

  void resume() {
    suspended = false;
    while (!suspended && !deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  void kill() {
    killed = true;
    deferred.clear();
  }

  boolean isKilled() {
    return killed;
  }
}
