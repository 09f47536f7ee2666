package io.mothrill.wire.forward;

import io.mothrill.core.forward.overload.PendingStart;
import io.mothrill.core.forward.overload.StartQueue;
import io.mothrill.core.forward.overload.StartSlice;
import io.mothrill.core.time.Timers;
import io.mothrill.core.work.WorkKind;
import io.mothrill.core.work.WorkStats;
import io.netty.channel.EventLoop;
import java.util.List;

/**
 * Starts the received requests of one event loop; all methods are called on that loop.
 *
 * <p>A request is started only after everything that was readable has been read, so that a caller's
 * close that lies behind its request in the socket is known before the request is sent. If it were
 * not, an event loop that is behind would send requests that nobody waits for any more.
 */
final class RequestStarter {

  /**
   * Time for starts before the event loop reads its sockets again: closes are then known early, and
   * streams under way are not held up noticeably.
   */
  private static final long SLICE_MS = 20;

  /** Lets the event loop read its sockets; tasks without a delay would all run before that. */
  private static final long AFTER_READS_MS = 1;

  private final EventLoop loop;
  private final Timers timers;
  private final WorkStats workStats;
  private final StartQueue<Request> queue = new StartQueue<>();
  private boolean scheduled;

  /** A request that can be started or rejected. */
  interface Request extends PendingStart {

    void startNow();

    /** Rejects the request as not run, since it could not be answered in time. */
    void rejectOverloaded(long retryAfterMs);
  }

  RequestStarter(EventLoop loop, Timers timers, WorkStats workStats) {
    this.loop = loop;
    this.timers = timers;
    this.workStats = workStats;
  }

  void submit(Request request) {
    queue.add(request, timers.nowMs());
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::runMetered);
    }
  }

  /** Returns the number of requests that wait to be started. */
  int waitingCount() {
    return queue.size();
  }

  /** Counts the starts as work for callers: they are no part of what the connections measure. */
  private void runMetered() {
    long startNanos = System.nanoTime();
    runSlice();
    workStats.onTurn(WorkKind.CALLER, System.nanoTime() - startNanos);
  }

  private void runSlice() {
    long beginMs = timers.nowMs();
    StartSlice<Request> slice = queue.take(beginMs);
    slice.rejections().forEach(rejected -> reject(rejected));
    List<Request> starts = slice.starts();
    int started = 0;
    while (started < starts.size() && timers.nowMs() - beginMs < SLICE_MS) {
      start(starts.get(started));
      started++;
    }
    queue.putBack(starts.subList(started, starts.size()));
    scheduled = queue.size() > 0;
    if (scheduled) {
      timers.after(AFTER_READS_MS, () -> loop.execute(this::runMetered));
    }
  }

  private static void reject(StartSlice.Rejected<Request> rejected) {
    if (rejected.request().isCallerConnected()) {
      rejected.request().rejectOverloaded(rejected.retryAfterMs());
    }
  }

  private static void start(Request request) {
    if (request.isCallerConnected()) {
      request.startNow();
    }
  }
}
