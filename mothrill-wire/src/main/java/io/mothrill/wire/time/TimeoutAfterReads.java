package io.mothrill.wire.time;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs timeouts of responses after the event loop has read its sockets.
 *
 * <p>An event loop that is behind runs timers that have become due before it reads what has arrived
 * meanwhile. A timeout would then fail a call whose response lies in the socket, and as long as the
 * event loop is behind no call would succeed.
 */
public final class TimeoutAfterReads {

  private TimeoutAfterReads() {}

  /**
   * Runs a timeout that has become due.
   *
   * @param loop the event loop of the connection
   * @param timeout checks whether the response has arrived by now
   * @return a handle that cancels the timeout
   */
  public static Future<?> run(EventExecutor loop, Runnable timeout) {
    // A task that is scheduled now is due in the next turn, which begins with reading.
    return loop.schedule(timeout, 1, TimeUnit.NANOSECONDS);
  }
}
