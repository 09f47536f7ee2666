package io.mothrill.core.forward.buffer;

import java.util.concurrent.Executor;

/**
 * The pauses of one source of bytes whose reader is too slow.
 *
 * <p>{@link #start} and {@link #end} are called on the executor of the connection, on which the
 * abort also runs.
 */
public final class SourcePause {

  private static final long NOT_PAUSED = -1;

  private final BufferBudget budget;
  private final ConnectionBuffer buffer;
  private final Executor executor;
  private final Runnable abort;
  private volatile long sinceMs = NOT_PAUSED;

  SourcePause(BufferBudget budget, ConnectionBuffer buffer, Executor executor, Runnable abort) {
    this.budget = budget;
    this.buffer = buffer;
    this.executor = executor;
    this.abort = abort;
  }

  /** Called when the source is paused; has no effect if it already is. */
  public void start() {
    if (!isActive()) {
      sinceMs = budget.nowMs();
      budget.onPaused(this);
    }
  }

  /** Called when the source resumes or has ended; has no effect if it is not paused. */
  public void end() {
    if (isActive()) {
      sinceMs = NOT_PAUSED;
      budget.onResumed(this);
    }
  }

  /** Called when the reader has read something without catching up; its time starts anew. */
  public void restart() {
    end();
    start();
  }

  /**
   * Checks whether the source is paused.
   *
   * @return true between start and end
   */
  public boolean isActive() {
    return sinceMs != NOT_PAUSED;
  }

  long pausedMs(long nowMs) {
    long startMs = sinceMs;
    return startMs == NOT_PAUSED ? 0 : nowMs - startMs;
  }

  long heldBytes() {
    return buffer.heldBytes();
  }

  /** Aborts the source unless it resumes before its executor runs this. */
  void abort() {
    long startMs = sinceMs;
    executor.execute(
        () -> {
          if (startMs != NOT_PAUSED && startMs == sinceMs) {
            end();
            budget.onAborted();
            abort.run();
          }
        });
  }
}
